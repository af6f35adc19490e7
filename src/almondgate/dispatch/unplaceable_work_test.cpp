#include "random_day.hpp"
#include "test_jobs.hpp"
#include "unplaced_needs.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

constexpr int64_t Second = 1000;
constexpr int64_t Cores = 64;
constexpr int64_t MilliCpus = 1000;
constexpr int64_t MemoryMb = 1 << 20;
constexpr int64_t Accelerators = 8;
constexpr int64_t ShortMs = 500;
constexpr int64_t ShortCores = 4;
constexpr int64_t Forever = int64_t{1} << 40;

/// Why a task of a step finds no place.
enum class Obstacle {
  Processors,
  Memory,
  Accelerators,
  /// The step has more tasks than the memory of the pool holds.
  SurplusMemory,
  /// Each endpoint runs as many tasks of the step as it may.
  TasksPerEndpoint,
  Label,
  Affinity,
  /// The placement policy allows no endpoint.
  Policy,
  Last = Policy,
};

std::string nameOf(Obstacle obstacle) {
  const char *const names[] = {
      "processors",         "memory", "accelerators", "surplus, memory",
      "tasks per endpoint", "label",  "rack",         "policy"};
  return names[size_t(obstacle)];
}

/// A step that is placed on no endpoint, or not as a whole.
jobs::JobSpec unplaceable(Obstacle obstacle, int64_t vms, int64_t cores) {
  jobs::JobSpec spec = oneStep(1, cores, ShortMs);
  auto &step = spec.Steps[0];
  switch (obstacle) {
  case Obstacle::Processors:
    step.Need.MilliCpus = (Cores + 1) * MilliCpus;
    break;
  case Obstacle::Memory:
    step.Need.MemoryMb = MemoryMb + 1;
    break;
  case Obstacle::Accelerators:
    step.Need.Accelerators = Accelerators + 1;
    break;
  case Obstacle::SurplusMemory:
    step.Need.MemoryMb = MemoryMb * 3 / 5;
    step.Count = vms + 2;
    break;
  case Obstacle::TasksPerEndpoint:
    step.AntiAffinity = 1;
    step.Count = vms + 2;
    break;
  case Obstacle::Label:
    step.Label = "none";
    break;
  case Obstacle::Affinity:
    step.Affinity = core::RackId("none");
    step.Need.MemoryMb = MemoryMb + 1;
    break;
  case Obstacle::Policy:
    break;
  }
  return spec;
}

// The job of the step that can't be placed.
const std::string Unplaceable = jobId(999);

/// VMs with accelerators, and a queue "policy" that needs tickets, which
/// Unplaceable gets for no endpoint.
struct MixedFleet : Fleet {
  explicit MixedFleet(int vms) : Fleet(vms) {
    SkipsIdleTime = true;
    configure([](jobs::FleetConfig &config) {
      config.Queues.push_back(config.Queues.at(0));
      auto &queue = config.Queues.back();
      queue.Id = core::QueueId("policy");
      queue.PathPrefix = "/policy/";
      queue.NeedsTicket = true;
      queue.TicketLifeMs = 5 * Second;
    });
    MayRun = [](const auto &, const jobs::JobId &job) {
      return job != jobs::JobId(Unplaceable);
    };
    for (const auto &vm : VmIds) {
      endpointOf(vm).Facts.Capacity = {0, Cores * MilliCpus, MemoryMb,
                                       Accelerators};
      sendHeartbeat(vm);
    }
    advance(200);
  }

  void add(Obstacle obstacle, const jobs::JobSpec &spec) {
    submitAsync(Unplaceable, spec,
                obstacle == Obstacle::Policy ? "policy" : "q");
    advance(Second);
  }
};

/// Jobs of short tasks, each with the time at which it comes. Each third one
/// needs tickets.
using TimedJobs = std::vector<std::pair<int64_t, jobs::JobSpec>>;

/// Returns how long each job took; one that is not completed took forever.
std::vector<int64_t> play(MixedFleet &fleet, const TimedJobs &jobs) {
  constexpr int64_t RecoveryMs = 5 * Second;
  constexpr int64_t SampleMs = 10;
  std::vector<int64_t> out(jobs.size(), Forever);
  for (int64_t ms = 0; ms < jobs.back().first + RecoveryMs; ms += SampleMs) {
    for (size_t i = 0; i < jobs.size(); ++i) {
      const std::string id = jobId(int64_t(i));
      const auto *record = jobs::findJob(fleet.ledger(), jobs::JobId(id));
      if (jobs[i].first >= ms && jobs[i].first < ms + SampleMs)
        fleet.submitAsync(id, jobs[i].second, i % 3 == 2 ? "policy" : "q");
      else if (record && record->Remaining == 0)
        out[i] = std::min(out[i], ms - jobs[i].first);
    }
    fleet.advance(SampleMs);
  }
  fleet.checkViolations();
  return out;
}

} // namespace

// Guards against accepted jobs that never started on idle endpoints: a step
// that was refused for its memory kept all steps with as many cores out of the
// placement.
TEST_CASE("a step that can't be placed keeps no other one waiting") {
  constexpr int VmCount = 9;
  for (int obstacle = 0; obstacle <= int(Obstacle::Last); ++obstacle)
    for (const bool lasts : {false, true})
      for (const bool fills : {false, true})
        for (const bool same_job : {false, true}) {
          // Processor time does not count for a step that fills.
          if (fills && Obstacle(obstacle) == Obstacle::Processors)
            continue;
          CAPTURE(nameOf(Obstacle(obstacle)));
          CAPTURE(lasts);
          CAPTURE(fills);
          CAPTURE(same_job);
          MixedFleet fleet(VmCount);
          auto spec =
              unplaceable(Obstacle(obstacle), VmCount, lasts ? 1 : ShortCores);
          spec.Steps[0].LongRunning = lasts;
          spec.Steps[0].Fills = fills;
          if (same_job)
            spec.Steps.push_back(spec.Steps[0]);
          fleet.add(Obstacle(obstacle), spec);
          TimedJobs jobs;
          for (int64_t i = 0; i < 6; ++i)
            jobs.emplace_back(i * 100, oneStep(2, ShortCores, ShortMs));
          for (const int64_t ms : play(fleet, jobs))
            CHECK(ms < 2 * ShortMs);
        }
}

// The same for steps and jobs of any size: with one step that can't be placed,
// no job takes longer than without it. ALMONDGATE_PLACING_SEEDS=FIRST-LAST
// plays other seeds.
TEST_CASE("random work is placed as fast beside a step that can't be placed") {
  constexpr uint64_t DefaultSeeds = 60;
  constexpr int64_t TickMs = 50;
  const int pools[] = {1, 2, 3, 9, 30, 120, 300};
  for (const uint64_t seed :
       seedsToPlay("ALMONDGATE_PLACING_SEEDS", DefaultSeeds)) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto below = [&random](int64_t n) {
      return int64_t(random() % uint64_t(n));
    };
    const int vms = pools[below(7)];
    const auto obstacle = Obstacle(below(int64_t(Obstacle::Last) + 1));
    auto spec = unplaceable(obstacle, vms, 1 + below(8));
    spec.Steps[0].LongRunning = below(3) > 0;
    // Processor time does not count for a step that fills.
    spec.Steps[0].Fills = below(3) == 0 && obstacle != Obstacle::Processors;
    if (below(4) == 0 && obstacle != Obstacle::Processors)
      spec.Steps[0].Need.MilliCpus = 0;
    spec.Steps[0].Gang = below(4) == 0 && !spec.Steps[0].LongRunning;
    CAPTURE(vms);
    CAPTURE(nameOf(obstacle));
    TimedJobs jobs;
    int64_t at = 0;
    for (int64_t i = 0; i < 8; ++i) {
      auto job = oneStep(1 + below(3), 1 + below(8), 100 + below(ShortMs));
      auto &step = job.Steps[0];
      step.Need.MemoryMb = 1 + below(MemoryMb / 16);
      step.Need.Accelerators = below(2);
      at += 150 + below(400);
      jobs.emplace_back(at, job);
    }
    MixedFleet alone(vms);
    alone.advance(Second);
    const auto usual = play(alone, jobs);
    MixedFleet beside(vms);
    beside.add(obstacle, spec);
    const auto taken = play(beside, jobs);
    for (size_t i = 0; i < jobs.size(); ++i) {
      CAPTURE(i);
      CHECK(usual[i] != Forever);
      CHECK(taken[i] <= usual[i] + TickMs);
    }
  }
}

// Guards against refusals, and VMs taken from other pools, for a job that can
// never run.
TEST_CASE("a job that fits no VM counts neither as load nor as demand") {
  for (const bool memory : {false, true}) {
    CAPTURE(memory);
    constexpr int VmCount = 4;
    constexpr int64_t Tasks = 300;
    MixedFleet fleet(VmCount);
    for (int i = 0; i < VmCount; ++i)
      fleet.addVm("spare");
    fleet.advance(Second);
    auto spec = unplaceable(memory ? Obstacle::Memory : Obstacle::Processors,
                            VmCount, ShortCores);
    spec.Steps[0].Count = Tasks;
    fleet.add(Obstacle::Memory, spec);
    for (int64_t i = 0; i < 20; ++i) {
      const auto reply =
          fleet.submit(jobId(i), oneStep(2, ShortCores, ShortMs));
      CHECK(reply.Outcome == jobs::JobOutcome::Done);
      fleet.advance(100);
    }
    CHECK(fleet.OrderedMoves == 0);
    fleet.checkViolations();
  }
}

TEST_CASE("a size that fits nowhere rules out those that need as much") {
  UnplacedNeeds needs;
  CHECK_FALSE(needs.covers({0, 1000, 1, 0}));
  needs.add({0, 1000, 600, 0});
  CHECK(needs.covers({0, 1000, 600, 0}));
  CHECK(needs.covers({0, 2000, 700, 1}));
  CHECK_FALSE(needs.covers({0, 2000, 500, 0}));
  CHECK_FALSE(needs.covers({0, 900, 900, 0}));
  needs.add({0, 0, 800, 0});
  CHECK(needs.covers({0, 1, 800, 0}));
  CHECK_FALSE(needs.covers({0, 1, 700, 0}));
  // A smaller size takes the place of those that it rules out.
  needs.add({0, 0, 100, 0});
  CHECK(needs.covers({0, 0, 100, 0}));
  for (int64_t i = 0; i < 100; ++i)
    needs.add({0, i, 99 - i, 0});
  CHECK(needs.covers({0, 0, 99, 0}));
}
