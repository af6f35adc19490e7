#ifndef ALMONDGATE_SRC_DISPATCH_TEST_ENDPOINT_HPP
#define ALMONDGATE_SRC_DISPATCH_TEST_ENDPOINT_HPP

#include "almondgate/dispatch/dispatcher_hooks.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace almondgate::dispatch {

/// A run at a stand-in endpoint.
struct TestRun {
  int64_t Run = 0;
  int64_t EndsAt = 0;
  /// A long-running task is at work from then on.
  int64_t AtWorkFrom = 0;
  core::Size Need;
  bool Fails = false;
};

/// A stand-in endpoint in virtual time: keeps leases, fences orders by epoch,
/// lists ends until they are acknowledged, and starts whatever it is told.
struct TestEndpoint {
  jobs::EndpointFacts Facts;
  /// Takes no call and answers none, but goes on working.
  bool Unreachable = false;
  /// Starts that are to be carried out this much later, without an answer.
  int64_t DelayedStarts = 0;
  int64_t StartDelayMs = 0;
  /// Starts that are carried out, but whose answer gets lost.
  int64_t LostReplies = 0;
  int64_t ClockOffset = 0;

  uint64_t Epoch = 0;
  int64_t Deadline = 0;
  std::map<jobs::TaskRef, TestRun> Runs;
  /// Runs at most this high are rejected.
  std::map<jobs::TaskRef, int64_t> Closed;
  std::vector<EndReport> Ended;
  int64_t EndCount = 0;
  int64_t Starts = 0;

  struct PendingRenewal {
    RenewRequest Request;
    int64_t Until = 0;
    std::function<void(RenewReply)> Done;
  };
  std::vector<PendingRenewal> Renewals;

  int64_t clock(int64_t now) const { return now + ClockOffset; }
  void end(const jobs::TaskRef &task, RunEnd how);
  RunInventory inventory(int64_t now, int64_t last_seen) const;
};

} // namespace almondgate::dispatch

#endif
