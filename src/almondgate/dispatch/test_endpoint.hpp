#ifndef ALMONDGATE_SRC_DISPATCH_TEST_ENDPOINT_HPP
#define ALMONDGATE_SRC_DISPATCH_TEST_ENDPOINT_HPP

#include "almondgate/dispatch/dispatcher_hooks.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondgate::dispatch {

/// A run on a TestEndpoint.
struct TestRun {
  int64_t Run = 0;
  int64_t EndsAt = 0;
  /// When a long-running task becomes ready.
  int64_t ReadyAt = 0;
  core::Size Need;
  bool Fails = false;
  /// When the stop that was ordered ends the run; none was ordered if empty.
  std::optional<int64_t> StopsAt;
  /// When the run ends because the lease has expired; it has not if empty.
  std::optional<int64_t> LapsesAt;
  /// For a member of a gang, how long the gang works once all members of one
  /// run are present, and when it waits for them no longer; 0 for other tasks.
  int64_t GangMs = 0;
  int64_t GangDue = 0;

  /// A long-running task is ready and is not being stopped.
  bool isAtWork(int64_t now) const { return now >= ReadyAt && !StopsAt; }
};

/// A fake endpoint in virtual time: enforces leases, fences orders by epoch,
/// reports ends until they are acknowledged, and starts every run ordered.
struct TestEndpoint {
  jobs::EndpointFacts Facts;
  /// Receives no call and answers none; its runs continue.
  bool Unreachable = false;
  /// Its calls are lost on their way, though its heartbeats arrive.
  bool CallsLost = false;
  /// It carries calls out, but its answers and heartbeats are lost.
  bool AnswersLost = false;
  /// How many of the next starts are carried out StartDelayMs later, without an
  /// answer.
  int64_t DelayedStarts = 0;
  int64_t StartDelayMs = 0;
  /// It rejects starts, as an unhealthy endpoint does.
  bool RejectsStarts = false;
  /// How many of the next starts are carried out, but the answer is lost.
  int64_t LostReplies = 0;
  /// Offset of its clock from the virtual time, in milliseconds.
  int64_t ClockOffset = 0;
  /// How much its clock loses against the virtual time.
  int64_t ClockLagPerMille = 0;
  /// Its runs are slow until this time.
  int64_t ColdUntil = 0;
  /// It sends no heartbeat before this time.
  int64_t FirstHeartbeat = 0;
  /// This incarnation has answered a call.
  bool HasAnswered = false;

  uint64_t Epoch = 0;
  int64_t Deadline = 0;
  std::map<jobs::TaskRef, TestRun> Runs;
  /// The highest run of each task that ended or was stopped; starts up to it
  /// are rejected.
  std::map<jobs::TaskRef, int64_t> Closed;
  std::vector<EndReport> Ended;
  int64_t EndCount = 0;
  /// The most ends that one inventory lists.
  size_t MaxListedEnds = 500;
  /// Runs that it is ending are not listed.
  bool HidesEndingRuns = false;
  /// When each run in Ended ended, by EndReport::Number.
  std::map<int64_t, int64_t> EndedAt;
  /// When the lease was last found to have expired.
  int64_t LapsedAt = INT64_MIN;
  int64_t Starts = 0;

  /// A renewal that waits for a run to end.
  struct PendingRenewal {
    RenewRequest Request;
    int64_t Until = 0;
    std::function<void(RenewReply)> Done;
  };
  std::vector<PendingRenewal> Renewals;

  /// The longest lease that it grants, whatever is requested.
  static constexpr int64_t MaxLeaseMs = 6000;

  /// Calls reach it.
  bool receives() const { return !Unreachable && !CallsLost; }
  /// What it sends arrives.
  bool isHeard() const { return !Unreachable && !AnswersLost; }

  int64_t clock(int64_t now) const {
    constexpr int64_t Thousand = 1000;
    return now + ClockOffset -
           (now - Facts.BornMs) * ClockLagPerMille / Thousand;
  }
  /// Extends the lease; a deadline never moves back.
  void extendLease(int64_t deadline, int64_t now) {
    Deadline = std::max(Deadline, std::min(deadline, clock(now) + MaxLeaseMs));
  }
  void end(const jobs::TaskRef &task, RunEnd how, int64_t now);
  RunInventory inventory(int64_t now, int64_t last_seen) const;
};

} // namespace almondgate::dispatch

#endif
