#include "test_jobs.hpp"

#include "almondgate/dispatch/cold_endpoints.hpp"

#include <algorithm>
#include <random>

using namespace almondgate;
using namespace almondgate::dispatch;
using core::TimeMs;
using jobs::JobSpec;
using jobs::JobState;
using policy::ColdStartDecision;
using policy::ColdStartInput;

namespace {

constexpr int64_t ColdMs = 6000;

DispatchPolicies withoutColdStart() {
  DispatchPolicies out;
  out.ColdStart = [](const ColdStartInput &) { return ColdStartDecision(); };
  return out;
}

int64_t usedCores(Fleet &fleet, const core::VmId &vm) {
  int64_t used = 0;
  for (const auto &[task, run] : fleet.endpointOf(vm).Runs)
    used += run.Need.MilliCpus;
  return used / 1000;
}

} // namespace

// Guards against a full load on VMs that run it four times as long.
TEST_CASE(
    "cold start: a cold endpoint takes a quarter at first, after others") {
  Fleet fleet(2);
  fleet.restartCold(fleet.VmIds[0], ColdMs);
  fleet.advance(100);
  fleet.submit(jobId(1), oneStep(8, 8, 20000));
  fleet.advance(100);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 0);
  CHECK(usedCores(fleet, fleet.VmIds[1]) == 64);
  fleet.submit(jobId(2), oneStep(8, 8, 20000));
  fleet.advance(100);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 16);
  fleet.advance(ColdMs / 2);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 40);
  fleet.advance(ColdMs / 2);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 64);
  fleet.checkViolations();
}

// Guards against memory that is occupied twice: tasks without processor time
// run on a cold VM.
TEST_CASE("cold start: a large task leaves the memory of others alone") {
  Fleet fleet(1);
  const int64_t memory =
      fleet.endpointOf(fleet.VmIds[0]).Facts.Capacity.MemoryMb;
  fleet.restartCold(fleet.VmIds[0], ColdMs);
  fleet.advance(100);
  auto idle = oneStep(1, 0, 2 * ColdMs);
  idle.Steps[0].Need.MemoryMb = memory / 2;
  fleet.submit(jobId(1), idle);
  fleet.advance(100);
  auto large = oneStep(1, 32, 300);
  large.Steps[0].Need.MemoryMb = memory / 2 + 1;
  fleet.submit(jobId(2), large);
  fleet.advance(ColdMs / 2);
  CHECK(fleet.running() == 1);
  fleet.checkViolations();
}

TEST_CASE("cold start: a task larger than the usable part runs alone") {
  Fleet fleet(1);
  fleet.restartCold(fleet.VmIds[0], ColdMs);
  fleet.advance(100);
  fleet.submit(jobId(1), oneStep(2, 20, 300));
  fleet.advance(100);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 20);
  fleet.advance(5000);
  CHECK(fleet.stateOf(jobId(1)) == JobState::Completed);
}

TEST_CASE("cold start: long-running tasks may use all of a cold endpoint") {
  Fleet fleet(1);
  fleet.restartCold(fleet.VmIds[0], ColdMs);
  fleet.advance(100);
  JobSpec spec = longRunning(3, 1);
  spec.Steps[0].Need.MilliCpus = 20000;
  fleet.submit(jobId(1), spec);
  fleet.advance(200);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 60);
}

// Guards against a durable record for each heartbeat while the time runs down.
TEST_CASE("cold start: heartbeats that only count down are not recorded") {
  Fleet fleet(3);
  fleet.restartCold(fleet.VmIds[0], ColdMs);
  fleet.advance(100);
  const int64_t before = fleet.Registrations;
  fleet.advance(ColdMs + 3000);
  CHECK(fleet.Registrations == before);
  CHECK(fleet.Counters["cold_endpoints reported"] == 1);
}

TEST_CASE("cold start: a new leader learns the rest of the time") {
  Fleet fleet(1);
  fleet.restartCold(fleet.VmIds[0], ColdMs);
  fleet.advance(100);
  fleet.changeLeader();
  fleet.advance(200);
  fleet.submit(jobId(1), oneStep(8, 8, 20000));
  fleet.advance(100);
  CHECK(usedCores(fleet, fleet.VmIds[0]) == 16);
}

TEST_CASE("cold start: the time runs from the first report of an incarnation") {
  ColdEndpoints cold(policy::decideColdStart);
  ColdEndpoints::EndpointMap endpoints;
  jobs::EndpointFacts facts;
  facts.Id = jobs::EndpointId("e");
  facts.BornMs = 10;
  EndpointView &view = endpoints[facts.Id];
  view.Facts = facts;
  const auto percent_at = [&](int64_t at) {
    cold.update(endpoints, TimeMs{at});
    return view.CapacityPercent;
  };
  CHECK_FALSE(cold.report(facts, 0, TimeMs{0}));
  CHECK(cold.report(facts, 1000, TimeMs{0}));
  CHECK(percent_at(0) == 25);
  // A heartbeat that was sent before and arrives late, or one that repeats its
  // first value.
  CHECK_FALSE(cold.report(facts, 1000, TimeMs{500}));
  CHECK(percent_at(500) == 62);
  SUBCASE("the time is over") {
    CHECK(percent_at(1000) == 100);
    CHECK_FALSE(cold.report(facts, 900, TimeMs{1100}));
    CHECK(percent_at(1100) == 100);
  }
  SUBCASE("a later report shortens the time") {
    cold.report(facts, 100, TimeMs{500});
    CHECK(percent_at(600) == 100);
  }
  SUBCASE("runs on time show that it is warm") {
    for (int i = 0; i < 4; ++i)
      cold.onRunDone(view, TimeMs{10}, 100, 100);
    // Began before the report, or on the former incarnation.
    cold.onRunDone(view, TimeMs{-1}, 100, 100);
    CHECK(percent_at(500) == 98);
    cold.onRunDone(view, TimeMs{10}, 100, 100);
    CHECK(percent_at(500) == 100);
    CHECK_FALSE(view.Cold);
  }
  SUBCASE("a new incarnation") {
    facts.BornMs = 20;
    CHECK(cold.report(facts, 1000, TimeMs{500}));
    view = EndpointView();
    view.Facts = facts;
    CHECK(percent_at(500) == 25);
    facts.BornMs = 10;
    CHECK_FALSE(cold.report(facts, 1000, TimeMs{600}));
    CHECK(percent_at(600) == 32);
  }
}

namespace {

struct LoadResult {
  double MeanMs = 0;
  int64_t P99Ms = 0;
  int64_t Done = 0;
};

/// A third of a pool goes and comes back cold at once, while jobs of 8 tasks of
/// 4 cores and 0.7 to 1.7 s are submitted up to `gap_ms` apart.
LoadResult play(DispatchPolicies policies, int64_t gap_ms) {
  Fleet fleet(12, std::move(policies));
  std::mt19937_64 random(11);
  const auto draw = [&random](int64_t below) {
    return int64_t(random() % uint64_t(below));
  };
  constexpr int64_t Jobs = 160;
  for (int64_t i = 0; i < Jobs; ++i) {
    if (i == Jobs / 4)
      for (size_t vm = 0; vm < 4; ++vm)
        fleet.restartCold(fleet.VmIds[vm], ColdMs);
    fleet.submit(jobId(i + 1), oneStep(8, 4, 700 + draw(1000)));
    fleet.advance(draw(gap_ms));
  }
  fleet.advance(15000);
  fleet.checkViolations();
  LoadResult out;
  std::vector<int64_t> took;
  for (const auto &[id, ms] : fleet.CompletionMs) {
    took.push_back(ms);
    out.MeanMs += double(ms);
  }
  std::sort(took.begin(), took.end());
  REQUIRE(int64_t(took.size()) == fleet.Accepted);
  out.MeanMs /= double(took.size());
  out.P99Ms = took[took.size() * 99 / 100];
  out.Done = int64_t(took.size());
  return out;
}

} // namespace

TEST_CASE("cold start: a third of a pool comes back cold at once") {
  // The load is a good half of the pool, or more than its warm VMs can do.
  int64_t gap_ms = 0;
  bool overloaded = false;
  SUBCASE("half") { gap_ms = 180; }
  SUBCASE("more than the warm VMs can do") {
    gap_ms = 120;
    overloaded = true;
  }
  const auto decided = play({}, gap_ms);
  const auto full = play(withoutColdStart(), gap_ms);
  const auto show = [](const LoadResult &result) {
    return std::to_string(int64_t(result.MeanMs)) + " / " +
           std::to_string(result.P99Ms) + " ms of " +
           std::to_string(result.Done) + " jobs";
  };
  MESSAGE("mean / p99: decision " << show(decided) << ", full load "
                                  << show(full));
  // Under overload the mean is longer, as some tasks wait for warm VMs, but
  // fewer take four times as long.
  if (!overloaded)
    CHECK(decided.MeanMs < full.MeanMs);
  CHECK(decided.P99Ms <= full.P99Ms);
  CHECK(decided.Done >= full.Done);
}
