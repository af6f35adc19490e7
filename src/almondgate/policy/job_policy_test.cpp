#include "almondgate/policy/duration_model.hpp"
#include "almondgate/policy/job_admission.hpp"
#include "almondgate/policy/job_room.hpp"
#include "almondgate/policy/job_timing.hpp"
#include "almondgate/policy/refusal_history.hpp"
#include "almondgate/policy/task_placement.hpp"
#include "almondgate/policy/vm_balance.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondgate;
using namespace almondgate::policy;

TEST_CASE("uninformative estimates are shrunk to the mean") {
  DurationModel model;
  for (int i = 0; i < 100; ++i)
    for (const int64_t estimate : {100, 1000, 10000})
      model.observe(estimate, 1000);
  CHECK(model.predict(100) > 600);
  CHECK(model.predict(10000) < 1700);
}

TEST_CASE("accurate estimates are trusted after enough observations") {
  DurationModel model;
  for (int i = 0; i < 100; ++i)
    for (const int64_t estimate : {100, 1000, 10000})
      model.observe(estimate, estimate);
  CHECK(model.predict(10000) > 4 * model.predict(1000));
}

TEST_CASE("before any run the mean estimate is the prediction") {
  DurationModel model;
  model.recordEstimate(1000);
  CHECK(model.predict(1000) == 1000);
  CHECK(model.predict(10) > 100);
}

TEST_CASE("the longest chain has the largest sum of run times") {
  jobs::JobSpec spec;
  spec.Steps.resize(3);
  spec.Steps[0].EstimateMs = 100;
  spec.Steps[1].EstimateMs = 500;
  spec.Steps[2].EstimateMs = 50;
  spec.Steps[2].After = {0, 1};
  const auto expect = [](const jobs::StepSpec &s) { return s.EstimateMs; };
  CHECK(longestChainMs(spec, expect) == 550);
  CHECK(chainFromMs(spec, 0, expect) == 150);
  CHECK(chainFromMs(spec, 2, expect) == 50);
}

TEST_CASE("admission accounts for the backlog and for incoming VMs") {
  JobAdmissionInput input;
  input.CapacityMilliCpus = 1000;
  input.DueInMs = 2000;
  input.SlackMs = 1000;
  input.Work = 100000;
  input.OpenJobs = {{1500, 500000, 0}};
  CHECK(decideJobAdmission(input).Accept);
  input.OpenJobs = {{1500, 5000000, 0}};
  const auto refused = decideJobAdmission(input);
  CHECK_FALSE(refused.Accept);
  CHECK(refused.RetryAfterMs > 0);
  input.IncomingMilliCpus = 100000;
  input.IncomingInMs = 500;
  CHECK(decideJobAdmission(input).Accept);
  input.IncomingMilliCpus = 0;
  input.LongRunning = true;
  CHECK(decideJobAdmission(input).Accept);
}

TEST_CASE(
    "admission accepts jobs that meet their due time and delay no other") {
  struct Case {
    const char *What;
    std::vector<JobDemand> OpenJobs;
    int64_t DueInMs;
    bool Accept;
  };
  // A job that takes the whole pool for 1 s.
  const Case cases[] = {
      {"an empty pool", {}, 1500, true},
      {"overdue on an empty pool", {}, -10, true},
      {"behind a job that is due earlier", {{900, 900000, 0}}, 1500, false},
      {"behind a job with dependent steps",
       {{900, 400000, 500000}},
       1500,
       false},
      {"before a job that is due later", {{4000, 900000, 0}}, 1500, true},
      {"delays an open job past its due time",
       {{1600, 900000, 0}},
       1500,
       false},
      {"overdue work is not counted", {{-500, 5000000, 0}}, 1500, true},
      {"overdue behind overdue work", {{-500, 5000000, 0}}, -10, false},
  };
  for (const auto &it : cases) {
    CAPTURE(it.What);
    JobAdmissionInput input;
    input.CapacityMilliCpus = 1000;
    input.Work = 1000000;
    input.OpenJobs = it.OpenJobs;
    input.DueInMs = it.DueInMs;
    input.SlackMs = it.DueInMs - 500;
    CHECK(decideJobAdmission(input).Accept == it.Accept);
  }
}

TEST_CASE("a resubmitted job keeps the time of its first submission") {
  RefusalHistory history;
  const jobs::JobId id("0000000000000001");
  CHECK((history.firstSentAt(id, core::TimeMs{500}) == core::TimeMs{500}));
  history.recordRefusal(id, "call-1", core::TimeMs{500});
  history.recordRefusal(id, "call-2", core::TimeMs{900});
  CHECK(history.wasRefused(id, "call-1"));
  CHECK_FALSE(history.wasRefused(id, "call-3"));
  CHECK_FALSE(history.wasRefused(id, ""));
  CHECK((history.firstSentAt(id, core::TimeMs{1200}) == core::TimeMs{500}));
  history.forget(id);
  CHECK((history.firstSentAt(id, core::TimeMs{1300}) == core::TimeMs{1300}));
}

TEST_CASE("the refusal history is bounded") {
  RefusalHistory history;
  for (int i = 0; i < 60000; ++i)
    history.recordRefusal(jobs::JobId(std::to_string(i)), "", core::TimeMs{i});
  CHECK(history.size() <= 20000);
  CHECK(history.size() >= 10000);
}

TEST_CASE("short tasks are packed, long-running tasks share few endpoints") {
  PlacementOption empty;
  empty.Capacity = {0, 64000, 1000, 0};
  empty.Free = empty.Capacity;
  PlacementOption half = empty;
  half.Free.MilliCpus = 32000;
  half.SameStep = 1;
  half.LongRunningTasks = 4;
  PlacementRequirements need{{0, 8000, 1, 0}};
  CHECK(choosePlacement({empty, half}, need) == 1);
  need.LongRunning = true;
  need.MaxStepTasks = 2;
  CHECK(choosePlacement({empty, half}, need) == 1);
  half.SameStep = 2;
  CHECK(choosePlacement({empty, half}, need) == 0);
  half.SameStep = 0;
  half.SameStepOnRack = 1;
  CHECK(choosePlacement({empty, half}, need) == 0);
  need.Need.MilliCpus = 65000;
  CHECK_FALSE(choosePlacement({empty, half}, need));
  CHECK(maxTasksPerEndpoint(5, 1) == 2);
  CHECK(maxTasksPerEndpoint(24, 2) == 6);
}

TEST_CASE("an endpoint with consecutive failures is chosen last") {
  PlacementOption good;
  good.Capacity = good.Free = {0, 64000, 1000, 0};
  PlacementOption bad = good;
  bad.Free.MilliCpus = 10000;
  bad.ConsecutiveFailures = 5;
  CHECK(choosePlacement({bad, good}, {{0, 1000, 1, 0}}) == 1);
}

namespace {

PoolBalance pool(const char *name, int64_t vms, int64_t wanted) {
  PoolBalance out;
  out.Pool = core::PoolId(name);
  out.PerVm = 64000;
  out.Vms = vms;
  out.Usable = vms * 64000;
  out.Movable = vms;
  out.Wanted = wanted;
  out.MinVms = 1;
  out.DemandKnown = true;
  return out;
}

PoolBalance spare(int64_t vms) {
  PoolBalance out = pool("spare", vms, 0);
  out.Spare = true;
  return out;
}

int64_t movesTo(const std::vector<PlannedMove> &moves, const char *name) {
  return std::count_if(moves.begin(), moves.end(), [&](const auto &move) {
    return move.To == core::PoolId(name);
  });
}

} // namespace

TEST_CASE(
    "a pool with a shortage gets spare VMs first, then those of idle pools") {
  const auto moves =
      planMoves({pool("a", 2, 640000), pool("b", 6, 0), spare(3)}, {});
  CHECK(movesTo(moves, "a") == 8);
  CHECK(moves[0].From == core::PoolId("spare"));
  CHECK(moves[3].From == core::PoolId("b"));
}

TEST_CASE("surplus VMs are parked after a delay, but not below the minimum") {
  auto idle = pool("a", 5, 0);
  idle.Surplus = core::DurationMs{100};
  CHECK(planMoves({idle, spare(0)}, {}).empty());
  idle.Surplus = core::DurationMs{5000};
  CHECK(movesTo(planMoves({idle, spare(0)}, {}), "spare") == 4);
  idle.DemandKnown = false;
  CHECK(planMoves({idle, spare(0)}, {}).empty());
}

TEST_CASE("pools that all have a shortage exchange no VMs") {
  CHECK(planMoves({pool("a", 4, 600000), pool("b", 4, 600000)}, {}).empty());
}

TEST_CASE("late work holds no VMs that another pool needs to be in time") {
  auto late = pool("a", 6, 800000);
  late.Late = 800000;
  const auto behind = pool("b", 2, 256000);
  CHECK(movesTo(planMoves({late, behind}, {}), "b") == 3);
  auto partly = late;
  partly.Late = 600000;
  CHECK(movesTo(planMoves({partly, behind}, {}), "b") == 2);
  // Late work gets no VMs from other late work.
  auto also_late = behind;
  also_late.Late = behind.Wanted;
  CHECK(planMoves({late, also_late}, {}).empty());
  // It still gets those of pools with a surplus.
  CHECK(movesTo(planMoves({late, pool("b", 6, 0)}, {}), "a") == 5);
}

TEST_CASE("any job is accepted while there is room, and none beyond it") {
  CHECK(decideJobRoom(0, 1).Accept);
  CHECK(decideJobRoom(99, 100).Accept);
  for (const size_t used : {100, 101}) {
    const auto full = decideJobRoom(used, 100);
    CHECK_FALSE(full.Accept);
    CHECK(full.RetryAfterMs > 0);
  }
}

TEST_CASE("the bytes of a job follow its tasks until it has ended") {
  jobs::JobSpec spec;
  spec.Steps.resize(2);
  const size_t ended = jobBytes(spec, true);
  const size_t task = (jobBytes(spec, false) - ended) / 2;
  CHECK(task > 0);
  spec.Steps[1].Count = 10;
  spec.Repetitions = 3;
  CHECK(jobBytes(spec, true) == ended);
  CHECK(jobBytes(spec, false) == ended + 33 * task);
  spec.Content = std::string(4000, 'x');
  CHECK(jobBytes(spec, true) == ended + 4000);
}
