#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobState;

namespace {

constexpr int VmCount = 8;
constexpr int64_t TaskMs = 2000;
constexpr int64_t Cores = 32;

/// A fleet that has been idle for a while with room for some renewals.
struct IdleFleet : Fleet {
  explicit IdleFleet(size_t room) : Fleet(VmCount) {
    RenewalRoom = room;
    advance(5000);
    MostWaitingRenewals = 0;
    RenewalCount = 0;
  }

  /// Runs one task at each endpoint and checks that its end is noticed soon.
  void checkJob() {
    constexpr int64_t MaxDelayMs = 400;
    submit(jobId(1), oneStep(VmCount, Cores, TaskMs));
    advance(TaskMs + MaxDelayMs);
    CHECK(stateOf(jobId(1)) == JobState::Completed);
    CHECK(Lapsed == 0);
    checkViolations();
  }
};

} // namespace

TEST_CASE("with room for all endpoints each renewal waits for an end") {
  IdleFleet fleet(VmCount);
  fleet.advance(4000);
  CHECK(fleet.MostWaitingRenewals == VmCount);
  CHECK(fleet.RenewalCount <= VmCount * 5);
  fleet.checkJob();
}

// Guards against a leader whose waiting renewals hold all connections, so that
// the leases of other endpoints expire.
TEST_CASE("without room idle endpoints are renewed by short calls") {
  IdleFleet fleet(3);
  fleet.advance(4000);
  CHECK(fleet.MostWaitingRenewals == 0);
  CHECK(fleet.RenewalCount >= VmCount * 3);
  CHECK(fleet.RenewalCount <= VmCount * 5);
  for (const auto &vm : fleet.VmIds)
    CHECK(fleet.endpointOf(vm).Deadline >
          fleet.endpointOf(vm).clock(fleet.now()));
  fleet.checkJob();
  CHECK(fleet.MostWaitingRenewals <= 3);
  CHECK(fleet.MostWaitingRenewals > 0);
}

TEST_CASE("without any room the ends of runs are still seen") {
  IdleFleet fleet(0);
  fleet.checkJob();
  CHECK(fleet.MostWaitingRenewals == 0);
}

// Guards against a count of open renewals that is kept from one leader to the
// next.
TEST_CASE("a new leader has all the room again") {
  IdleFleet fleet(2);
  for (int i = 0; i < 3; ++i) {
    fleet.submit(jobId(10 + i), oneStep(VmCount, Cores, TaskMs));
    fleet.advance(500);
    fleet.stopLeading();
    fleet.advance(500);
    fleet.lead();
    fleet.advance(6000);
  }
  fleet.MostWaitingRenewals = 0;
  fleet.checkJob();
  CHECK(fleet.MostWaitingRenewals == 2);
}
