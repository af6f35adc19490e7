#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;

// After a change of leader, jobs that waited for it arrive within the time of
// one commit. A leader that counts durable jobs only accepts all of them.
TEST_CASE("jobs that arrive within one commit are not all accepted") {
  constexpr int64_t RunMs = 500;
  // By the stretch of 2 and the target latency of the fleet's queue.
  constexpr int64_t DueMs = 2 * RunMs + 600;
  // 256 cores run 16 jobs of 16 cores at a time, three times by then.
  constexpr size_t MostInTime = 48;
  Fleet fleet(4);
  fleet.CommitMs = 200;
  for (int64_t n = 0; n < 200; ++n)
    fleet.submitAsync(jobId(n), oneStep(4, 4, RunMs));
  fleet.advance(DueMs + fleet.CommitMs);
  const auto &accepted = fleet.ledger().Jobs;
  CHECK(accepted.size() > MostInTime / 2);
  CHECK(accepted.size() <= MostInTime);
  fleet.advance(30000);
  CHECK(fleet.running() == 0);
  fleet.checkViolations();
}

// Fill work gives way to other work, also while its job is not durable yet.
TEST_CASE("a fill job refuses no job that arrives within its commit") {
  Fleet fleet(4);
  fleet.CommitMs = 200;
  auto fill = oneStep(100, 8, 60000);
  fill.Steps[0].Fills = true;
  fleet.submitAsync(jobId(0), fill);
  int64_t refused = 0;
  for (int64_t n = 1; n <= 4; ++n) {
    auto call = testCall(jobs::JobVerb::Submit, jobId(n));
    call.Spec = oneStep(4, 4, 500);
    fleet.dispatcher().handleCall(call, [&](const auto &reply) {
      refused +=
          reply && reply.value().Outcome == jobs::JobOutcome::Refused ? 1 : 0;
    });
  }
  // A refusal is answered at once, before anything is durable.
  CHECK(refused == 0);
}

namespace {

/// Adds the queue "q2" with the pool "p2" of two VMs.
void addSecondPool(Fleet &fleet) {
  fleet.configure([](jobs::FleetConfig &config) {
    jobs::QueueSpec queue = config.Queues[0];
    queue.Id = core::QueueId("q2");
    queue.PathPrefix = "/q2/";
    queue.Pool = core::PoolId("p2");
    config.Queues.push_back(queue);
    jobs::PoolSpec pool = config.Pools[0];
    pool.Id = queue.Pool;
    config.Pools.push_back(pool);
  });
  for (int i = 0; i < 2; ++i)
    fleet.addVm("p2");
  fleet.advance(1000);
}

} // namespace

// Jobs that take far longer than expected are late for certain; their backlog
// kept all VMs while the jobs of another queue were refused.
TEST_CASE("a backlog of late jobs does not keep VMs from a short pool") {
  constexpr int64_t SlowEstimateMs = 500;
  constexpr int64_t SlowRunMs = 6000;
  constexpr int64_t IntervalMs = 100;
  Fleet fleet(8);
  addSecondPool(fleet);
  fleet.RunMs = [](const jobs::StepSpec &step) {
    return step.EstimateMs == SlowEstimateMs ? SlowRunMs : step.EstimateMs;
  };
  int64_t id = 0;
  for (int i = 0; i < 30; ++i)
    fleet.submitAsync(jobId(++id), oneStep(8, 8, SlowEstimateMs));
  fleet.advance(3000);
  // 256 cores of the 640 that the fleet has.
  int64_t refused = 0;
  for (int64_t passed = 0; passed < 12000; passed += IntervalMs) {
    const int64_t before = fleet.Refused;
    fleet.submit(jobId(++id), oneStep(8, 8, 400), "q2");
    // The first runs end after 6 s; then VMs can be moved.
    refused += passed >= 7000 ? fleet.Refused - before : 0;
    fleet.advance(IntervalMs - fleet.CommitMs);
  }
  CHECK(refused == 0);
  fleet.advance(30000);
  CHECK(fleet.running() == 0);
  fleet.checkViolations();
}

// Long-running tasks are placed before all others, also after their job's due
// time has passed; so VMs they wait for must not be moved as if they were late.
TEST_CASE("long-running tasks that wait past their due time keep their VMs") {
  constexpr int64_t FirstRunsMs = 5000;
  constexpr int64_t IntervalMs = 100;
  Fleet fleet(4);
  addSecondPool(fleet);
  int64_t id = 0;
  for (int i = 0; i < 4; ++i)
    fleet.submit(jobId(++id), oneStep(1, 64, FirstRunsMs));
  fleet.advance(100);
  CHECK(fleet.running() == 4);
  auto service = longRunning(4, 4);
  service.Steps[0].Need.MilliCpus = 64000;
  fleet.submit(jobId(100), service);
  for (int64_t passed = 0; passed < 12000; passed += IntervalMs) {
    fleet.submit(jobId(++id + 100), oneStep(8, 8, 400), "q2");
    fleet.advance(IntervalMs - fleet.CommitMs);
  }
  int64_t placed = 0;
  for (const auto &vm : fleet.VmIds)
    for (const auto &[task, run] : fleet.endpointOf(vm).Runs)
      placed += task.Job.str() == jobId(100) ? 1 : 0;
  CHECK(placed == 4);
  fleet.checkViolations();
}

// Runs that have begun keep their capacity, however late their job is.
TEST_CASE("jobs are not accepted behind late runs that fill the pool") {
  constexpr int64_t SlowEstimateMs = 500;
  Fleet fleet(4);
  fleet.RunMs = [](const jobs::StepSpec &step) {
    constexpr int64_t SlowRunMs = 6000;
    return step.EstimateMs == SlowEstimateMs ? SlowRunMs : step.EstimateMs;
  };
  for (int64_t id = 1; id <= 4; ++id)
    fleet.submit(jobId(id), oneStep(8, 8, SlowEstimateMs));
  fleet.advance(2500);
  CHECK(fleet.running() == 32);
  // It would be due 1.4 s from now, and no run ends before 3 s from now.
  const auto reply = fleet.submit(jobId(9), oneStep(1, 8, 400));
  CHECK(reply.Outcome == jobs::JobOutcome::Refused);
  fleet.advance(30000);
  CHECK(fleet.running() == 0);
  fleet.checkViolations();
}

// Run times are learned from runs that have ended. Until the first of them
// ends, what is known comes from the runs in progress.
TEST_CASE("jobs are refused while runs take 12 times as long as expected") {
  constexpr int64_t EstimateMs = 500;
  constexpr int64_t SlowRunMs = 12 * EstimateMs;
  constexpr int64_t IntervalMs = 50;
  // 512 cores are full after 16 jobs of 32 cores each. A job that is sent in
  // this time is due 1.6 s later, and no run ends before 6 s.
  constexpr int64_t HopelessFromMs = 2500;
  constexpr int64_t HopelessUntilMs = 4300;
  Fleet fleet(8);
  fleet.RunMs = [](const jobs::StepSpec &) { return SlowRunMs; };
  const int64_t begin = fleet.now();
  int64_t accepted = 0;
  for (int64_t id = 1; fleet.now() < begin + HopelessUntilMs; ++id) {
    const bool hopeless = fleet.now() >= begin + HopelessFromMs;
    const int64_t before = fleet.Accepted;
    fleet.submit(jobId(id), oneStep(4, 8, EstimateMs));
    accepted += hopeless ? fleet.Accepted - before : 0;
    fleet.advance(IntervalMs - fleet.CommitMs);
  }
  CHECK(fleet.Accepted >= 16);
  CHECK(accepted == 0);
  fleet.advance(60000);
  CHECK(fleet.running() == 0);
  fleet.checkViolations();
}
