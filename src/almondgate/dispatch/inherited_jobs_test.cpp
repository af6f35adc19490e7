#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobState;

namespace {

constexpr int Vms = 20;
constexpr int64_t Second = 1000;
constexpr int64_t Jobs = 6;
constexpr int64_t Steps = 6;
constexpr int64_t StepMs = 500;
constexpr int64_t CutMs = 5 * Second;

/// A job whose steps run one after the other.
jobs::JobSpec chain() {
  jobs::JobSpec spec = oneStep(1, 2, StepMs);
  for (int64_t i = 1; i < Steps; ++i) {
    spec.Steps.push_back(testStep(1, 2, StepMs));
    spec.Steps.back().After = {i - 1};
  }
  return spec;
}

/// Restarts an endpoint without runs under its id and cuts it off before it
/// can be read.
void restartCutOff(Fleet &fleet, const core::VmId &vm) {
  fleet.restartWithSameId(vm);
  TestEndpoint &endpoint = fleet.endpointOf(vm);
  endpoint.Unreachable = true;
  const int64_t born_ms = endpoint.Facts.BornMs;
  fleet.sendHeartbeat(vm);
  fleet.schedule(CutMs, [&fleet, vm, born_ms] {
    if (fleet.endpointOf(vm).Facts.BornMs == born_ms)
      fleet.endpointOf(vm).Unreachable = false;
  });
}

} // namespace

// Guards against jobs of an earlier leader that stood still, all those of a
// pool at once: each new incarnation that could not be read yet delayed them.
TEST_CASE("inherited jobs start while restarted endpoints are cut off") {
  Fleet fleet(Vms);
  for (int64_t n = 1; n <= Jobs; ++n)
    fleet.submit(jobId(n), chain());
  fleet.changeLeader();
  fleet.advance(100);
  size_t next = 0;
  for (int64_t ms = 0; ms < 8 * Second; ms += Second) {
    while (!fleet.endpointOf(fleet.VmIds[next % Vms]).Runs.empty())
      ++next;
    restartCutOff(fleet, fleet.VmIds[next++ % Vms]);
    fleet.advance(Second);
  }
  fleet.checkViolations();
  for (int64_t n = 1; n <= Jobs; ++n)
    CHECK(fleet.stateOf(jobId(n)) == JobState::Completed);
}

// The counterpart: an endpoint that no leader has read since may hold a run of
// the earlier leader, also in its next incarnation.
TEST_CASE("inherited jobs wait for an endpoint that was never read") {
  constexpr int64_t LongMs = 20 * Second;
  for (const bool restarts : {false, true}) {
    CAPTURE(restarts);
    Fleet fleet(2);
    fleet.submit(jobId(1), oneStep(1, 40, LongMs));
    fleet.advance(100);
    for (const auto &vm : fleet.VmIds)
      if (!fleet.endpointOf(vm).Runs.empty())
        fleet.endpointOf(vm).Unreachable = true;
    fleet.changeLeader();
    for (int64_t ms = 0; ms < 8 * Second; ms += 100) {
      for (const auto &vm : fleet.VmIds)
        if (restarts && ms == Second && fleet.endpointOf(vm).Unreachable)
          restartCutOff(fleet, vm);
      fleet.advance(100);
    }
    CHECK(fleet.running() == 1);
    fleet.checkViolations();
  }
}
