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

/// One request of a VirtualPool's load.
struct Work {
  core::TeamId Team;
  model::WorkClass Class = model::WorkClass::Batch;
  int64_t RunMs = 1000;
  int64_t ArrivedMs = 0;
  int64_t StartedMs = -1;
};

/// A pool of workers in virtual time that runs what the real PoolScheduler
/// grants.
class VirtualPool {
public:
  using OnEnd = std::function<void(const Work &)>;

  VirtualPool(int vms, int64_t slots, placer::PoolOptions options,
              uint64_t seed);

  void addTeam(const core::TeamId &team, int64_t share);
  /// Makes a worker fail everything at once.
  void breakVm(int vm) { Broken = vm; }
  /// Announces team and VM changes to the book; call once after the setup.
  void begin();

  /// Hands work in now. Work that fails is handed in again by its submitter.
  void submit(Work work);

  /// Runs events until a time, calling `every` each millisecond step of 10.
  void runUntil(int64_t ms, const std::function<void()> &every);

  int64_t now() const { return NowMs; }
  std::mt19937_64 &dice() { return Dice; }
  int64_t slots() const { return Slots; }
  int64_t running() const { return Running; }
  int64_t waiting() const { return Waiting; }
  int64_t failedRuns() const { return FailedRuns; }
  int64_t allRuns() const { return AllRuns; }
  int64_t refused() const { return Refused; }
  int64_t finished() const { return Finished; }
  /// Slots held by a team.
  int64_t heldBy(const core::TeamId &team) const;
  OnEnd Ended;

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

  std::mt19937_64 Dice;
  int64_t NowMs = 100000;
  int64_t Slots;
  model::View View;
  placer::PoolScheduler Book;
  std::map<uint64_t, Work> Open;
  std::map<uint64_t, core::VmId> OnVm;
  std::map<core::TeamId, int64_t> Held;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  uint64_t NextId = 0;
  int64_t Running = 0;
  int64_t Waiting = 0;
  int64_t FailedRuns = 0;
  int64_t AllRuns = 0;
  int64_t Refused = 0;
  int64_t Finished = 0;
  int Broken = -1;
  int Vms;
};

} // namespace almondgate::bench

#endif
