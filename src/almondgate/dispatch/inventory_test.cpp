#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobState;

namespace {

constexpr size_t EndsPerInventory = 4;
constexpr int64_t Tasks = 30;
constexpr int64_t TaskMs = 1000;

/// Two endpoints that list few ends at a time and run all tasks of one job.
struct BusyFleet : Fleet {
  BusyFleet() : Fleet(2) {
    for (const auto &vm : VmIds)
      endpointOf(vm).MaxListedEnds = EndsPerInventory;
    submit(jobId(1), oneStep(Tasks, 2, TaskMs));
    advance(TaskMs / 2);
    REQUIRE(running() == Tasks);
  }

  void checkAllRanOnce() {
    advance(TaskMs * 5);
    CHECK(stateOf(jobId(1)) == JobState::Completed);
    int64_t starts = 0;
    for (const auto &vm : VmIds)
      starts += endpointOf(vm).Starts;
    CHECK(starts == Tasks);
    checkViolations();
  }
};

} // namespace

// Guards against tasks that run again after a change of leader because their
// ends were on a later page of the inventory.
TEST_CASE("a new leader reads all ends of an endpoint before it starts tasks") {
  BusyFleet fleet;
  fleet.changeLeader(TaskMs);
  fleet.checkAllRanOnce();
}

// Guards against tasks that run again, with no change of leader, because an
// endpoint was unreachable while many of its runs ended.
TEST_CASE("a run whose end is not listed yet is not taken for lost") {
  BusyFleet fleet;
  for (const auto &vm : fleet.VmIds)
    fleet.endpointOf(vm).Unreachable = true;
  fleet.advance(TaskMs);
  for (const auto &vm : fleet.VmIds)
    fleet.endpointOf(vm).Unreachable = false;
  fleet.checkAllRanOnce();
}

// As above, for starts without an answer whose runs have ended meanwhile.
TEST_CASE("an unanswered start whose end is not listed yet is not repeated") {
  BusyFleet fleet;
  auto &endpoint = fleet.endpointOf(fleet.VmIds[0]);
  fleet.submit(jobId(2), oneStep(1, 2, TaskMs));
  endpoint.LostReplies = 1;
  fleet.submit(jobId(3), oneStep(1, 2, 1));
  fleet.advance(TaskMs * 5);
  CHECK(fleet.stateOf(jobId(3)) == JobState::Completed);
  fleet.checkViolations();
}

// Guards against tasks that ran twice: their endpoint had started anew under
// its id when it accepted them, and was not known to have done so.
TEST_CASE("a start that the next incarnation accepted is not repeated") {
  constexpr int64_t SlowCommitMs = 300;
  Fleet fleet(2);
  fleet.submit(jobId(1), oneStep(2, 60, TaskMs));
  fleet.advance(TaskMs - 40);
  REQUIRE(fleet.running() == 2);
  fleet.CommitMs = SlowCommitMs;
  auto call = testCall(jobs::JobVerb::Submit, jobId(2));
  call.Spec = oneStep(2, 60, TaskMs);
  fleet.dispatcher().handleCall(call, [](const auto &) {});
  // The ends of the first job become durable after the acceptance; until then,
  // no renewal is outstanding that would show the restart.
  fleet.advance(SlowCommitMs / 2);
  REQUIRE(fleet.running() == 0);
  for (const auto &vm : fleet.VmIds)
    fleet.restartWithSameId(vm);
  fleet.advance(SlowCommitMs);
  REQUIRE(fleet.running() == 2);
  SUBCASE("and is needed") {}
  SUBCASE("and its job is cancelled") { fleet.cancel(jobId(2)); }
  fleet.addVm("p");
  fleet.advance(TaskMs * 8);
  fleet.checkViolations();
  CHECK(fleet.running() == 0);
  CHECK_FALSE(jobs::findJob(fleet.ledger(), jobs::JobId(jobId(2)))->isOpen());
}

// As above: the start was sent a second time, and the next incarnation carried
// the first order out late.
TEST_CASE("a late first start is not carried out beside a later run") {
  for (const int64_t crash_ms : {1200, 2700, 3000, 3300}) {
    CAPTURE(crash_ms);
    Fleet fleet(2);
    fleet.submit(jobId(1), oneStep(2, 40, TaskMs * 5));
    fleet.advance(500);
    auto &endpoint = fleet.endpointOf(fleet.VmIds[0]);
    endpoint.DelayedStarts = 1;
    endpoint.StartDelayMs = 4000;
    fleet.submit(jobId(2), oneStep(2, 24, TaskMs * 4));
    fleet.advance(crash_ms);
    fleet.restartWithSameId(fleet.VmIds[0]);
    fleet.addVm("p");
    fleet.advance(TaskMs * 15);
    fleet.checkViolations();
    CHECK(fleet.running() == 0);
  }
}

// Guards against tasks that ran twice: an endpoint that was ending a run didn't
// list it any more, and not yet as ended.
TEST_CASE("a run that is being stopped and isn't listed keeps its task back") {
  constexpr int64_t StopMs = 900;
  constexpr int64_t RenewalMs = 1000;
  for (int64_t phase_ms = 0; phase_ms < RenewalMs; phase_ms += 100) {
    CAPTURE(phase_ms);
    // The last VM is in another zone.
    Fleet fleet(5);
    fleet.StopMs = StopMs;
    fleet.HidesEndingRuns = true;
    fleet.submit(jobId(1), longRunning(1, 1));
    fleet.advance(2 * TaskMs);
    REQUIRE(fleet.runningIn("z0") == 1);
    // An inventory follows each end.
    for (int64_t n = 2; n < 12; ++n)
      fleet.submit(jobId(n), oneStep(2, 2, 150 * n));
    fleet.advance(phase_ms);
    REQUIRE(fleet.setEvacuation("z0", true));
    fleet.advance(6 * TaskMs);
    CHECK(fleet.runningIn("z0") == 0);
    CHECK(fleet.running() == 1);
    CHECK(fleet.PrematureReleases.empty());
    fleet.checkViolations();
  }
}
