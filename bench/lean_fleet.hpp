#ifndef ALMONDGATE_BENCH_LEAN_FLEET_HPP
#define ALMONDGATE_BENCH_LEAN_FLEET_HPP

#include "almondgate/dispatch/dispatcher.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondgate::bench {

/// A dispatcher with stand-in endpoints in virtual time. The stand-ins answer
/// each call after a millisecond, check nothing and are found by index, so that
/// nearly all processor time is the dispatcher's.
class LeanFleet {
public:
  /// `vms` VMs in PoolCount pools, twelve to a rack. All but `open_per_pool`
  /// VMs of each pool are filled by long-running tasks.
  LeanFleet(int64_t vms, int64_t open_per_pool);

  /// Keeps this many jobs of short tasks open: each one that ends is replaced.
  void setOpenJobs(int64_t jobs);

  /// Lets virtual time pass. Endpoints send heartbeats only if `heartbeats`.
  void advance(int64_t ms, bool heartbeats = true);

  /// Lets each endpoint send one heartbeat without changes.
  void sendHeartbeats();

  /// The number of runs that have ended as done.
  int64_t ended() const { return Ended; }
  int64_t openJobs() const { return OpenShortJobs; }
  /// The number of tasks of short jobs that are neither running nor done.
  int64_t waiting() const { return OpenTasks - Running; }

private:
  struct Run {
    jobs::TaskRef Task;
    int64_t Number = 0;
    bool LongRunning = false;
  };
  struct StandIn {
    jobs::EndpointFacts Facts;
    std::vector<Run> Runs;
    std::vector<dispatch::EndReport> Ends;
    int64_t EndCount = 0;
    /// The renewal that waits for a run to end; empty if none does.
    std::function<void(dispatch::RenewReply)> Renewal;
    int64_t RenewalNumber = 0;
    int64_t LastSeen = 0;
  };

  dispatch::DispatcherHooks hooks();
  void at(int64_t time, std::function<void()> fn);
  void start(size_t endpoint, const dispatch::StartOrder &order);
  void end(size_t endpoint, const jobs::TaskRef &task);
  void answerRenewal(size_t endpoint);
  void submit(jobs::JobSpec spec, int64_t pool);
  void submitShort();

  static constexpr int64_t PoolCount = 5;
  static constexpr size_t Slots = 4096;

  jobs::Ledger Ledger;
  std::vector<StandIn> Endpoints;
  /// Functions by time, in milliseconds modulo Slots.
  std::vector<std::vector<std::function<void()>>> Calendar;
  int64_t Now = 1000000;
  int64_t Sequence = 0;
  int64_t NextJob = 0;
  int64_t WantedJobs = 0;
  int64_t OpenShortJobs = 0;
  int64_t OpenTasks = 0;
  int64_t Running = 0;
  int64_t Ended = 0;
  std::unique_ptr<dispatch::Dispatcher> Core;
};

} // namespace almondgate::bench

#endif
