#ifndef ALMONDGATE_BENCH_VIRTUAL_POOL_HPP
#define ALMONDGATE_BENCH_VIRTUAL_POOL_HPP

#include "almondgate/placer/pool_scheduler.hpp"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace almondgate::bench {

/// A request of a VirtualPool's load. Times are virtual, in milliseconds.
struct Work {
  core::TeamId Team;
  model::WorkClass Class = model::WorkClass::Batch;
  int64_t RunMs = 1000;
  int64_t ArrivedMs = 0;
  /// -1 until the work starts.
  int64_t StartedMs = -1;
};

/// Simulates a pool of workers in virtual time that runs the work granted by
/// the real PoolScheduler.
class VirtualPool {
public:
  using EndHandler = std::function<void(const Work &)>;

  VirtualPool(int vms, int64_t slots, placer::PoolOptions options,
              uint64_t seed);

  void addTeam(const core::TeamId &team, int64_t share);
  /// Makes every run on a VM fail 1 ms after its start.
  void breakVm(int vm) { BrokenVm = vm; }
  /// Passes the teams and VMs to the scheduler; call once after the setup.
  void start();

  /// Submits work at the current time. Work that fails is submitted again.
  void submit(Work work);

  /// Processes events until a virtual time in milliseconds and calls `on_step`
  /// in each step of 10 ms.
  void runUntil(int64_t ms, const std::function<void()> &on_step);

  /// The current virtual time in milliseconds.
  int64_t now() const { return NowMs; }
  std::mt19937_64 &rng() { return Rng; }
  int64_t slots() const { return Slots; }
  int64_t running() const { return Running; }
  int64_t waiting() const { return Waiting; }
  int64_t failedRuns() const { return FailedRuns; }
  int64_t allRuns() const { return AllRuns; }
  int64_t refused() const { return Refused; }
  int64_t finished() const { return Finished; }
  int64_t slotsHeldBy(const core::TeamId &team) const;
  /// Called for each work that has ended without a failure, if set.
  EndHandler OnEnded;

private:
  struct End {
    int64_t At;
    uint64_t Id;
    bool operator>(const End &other) const { return At > other.At; }
  };

  void onGrant(uint64_t id, const core::Result<model::Grant> &grant);
  void end(uint64_t id);
  void reportAll();
  core::TimeMs time() const { return {NowMs}; }

  std::mt19937_64 Rng;
  int64_t NowMs = 100000;
  int64_t Slots;
  model::View View;
  placer::PoolScheduler Scheduler;
  /// Waiting and running work by id.
  std::map<uint64_t, Work> OpenWork;
  /// The VM of each running work.
  std::map<uint64_t, core::VmId> VmOfWork;
  std::map<core::TeamId, int64_t> SlotsHeld;
  std::priority_queue<End, std::vector<End>, std::greater<>> PendingEnds;
  uint64_t NextId = 0;
  int64_t Running = 0;
  int64_t Waiting = 0;
  int64_t FailedRuns = 0;
  int64_t AllRuns = 0;
  int64_t Refused = 0;
  int64_t Finished = 0;
  /// The index of the VM that fails its runs, or -1.
  int BrokenVm = -1;
  int Vms;
};

} // namespace almondgate::bench

#endif
