#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobState;

namespace {

constexpr int64_t Second = 1000;
constexpr int64_t LongMs = 20 * Second;
// More than half of a VM, so that each VM has room for one task.
constexpr int64_t Cores = 40;
// An endpoint carries an order without an answer out at most this much later.
constexpr int64_t LongestDelayMs = 12 * Second;

/// Two VMs. The start of a job of one task gets no answer, a given number of
/// times, and the endpoint carries each try out late.
struct LateFleet : Fleet {
  LateFleet(int64_t tries, int64_t delay_ms, int64_t run_ms) : Fleet(2) {
    for (const auto &vm : VmIds) {
      endpointOf(vm).DelayedStarts = tries;
      endpointOf(vm).StartDelayMs = delay_ms;
    }
    submit(jobId(1), oneStep(1, Cores, run_ms));
    advance(20);
    Chosen = VmIds[endpointOf(VmIds[0]).DelayedStarts < tries ? 0 : 1];
    for (const auto &vm : VmIds)
      if (vm != Chosen)
        endpointOf(vm).DelayedStarts = 0;
  }

  void finish() {
    advance(2 * LongMs + LongestDelayMs);
    checkViolations();
    CHECK(stateOf(jobId(1)) == JobState::Completed);
  }

  /// Where the task was ordered.
  core::VmId Chosen;
};

} // namespace

// Guards against tasks that ran twice: both tries of a start got no answer, the
// task was started elsewhere, and the endpoint's next incarnation carried one
// of them out.
TEST_CASE("a task waits for its late starts across a restart under the id") {
  for (int64_t delay_ms = 2 * Second; delay_ms < LongestDelayMs;
       delay_ms += 700)
    for (const int64_t before_ms : {10, 100, 400}) {
      CAPTURE(delay_ms);
      CAPTURE(before_ms);
      LateFleet fleet(2, delay_ms, LongMs);
      fleet.advance(delay_ms - before_ms);
      fleet.restartWithSameId(fleet.Chosen);
      fleet.finish();
    }
}

// As above: the endpoint was given up because it could not be reached, and came
// back as a new incarnation.
TEST_CASE("work of a lost endpoint waits for its late starts") {
  for (int64_t delay_ms = 7 * Second; delay_ms < LongestDelayMs;
       delay_ms += 700) {
    CAPTURE(delay_ms);
    LateFleet fleet(1, delay_ms, LongMs);
    fleet.endpointOf(fleet.Chosen).Unreachable = true;
    fleet.advance(delay_ms - 100);
    fleet.restartWithSameId(fleet.Chosen);
    fleet.finish();
  }
}

// As above: the second try ran until its lease expired during a cut, the task
// was started elsewhere, and the next incarnation carried the first try out.
TEST_CASE("a run that lapsed starts nowhere else before its late starts") {
  for (int64_t delay_ms = 6 * Second; delay_ms < LongestDelayMs;
       delay_ms += 700) {
    CAPTURE(delay_ms);
    LateFleet fleet(1, delay_ms, LongMs);
    fleet.advance(1500);
    REQUIRE(fleet.endpointOf(fleet.Chosen).Runs.size() == 1);
    fleet.endpointOf(fleet.Chosen).Unreachable = true;
    fleet.advance(delay_ms - 1520 - 100);
    fleet.restartWithSameId(fleet.Chosen);
    fleet.finish();
  }
}

// As above: the second try failed, and the task was started again.
TEST_CASE("a run that failed starts nowhere else before its late starts") {
  for (int64_t delay_ms = 3 * Second; delay_ms < LongestDelayMs;
       delay_ms += 700) {
    CAPTURE(delay_ms);
    LateFleet fleet(1, delay_ms, Second);
    int64_t failures = 1;
    fleet.Fails = [&](const jobs::TaskRef &) { return failures-- > 0; };
    fleet.RunMs = [&](const jobs::StepSpec &) {
      return failures > 0 ? Second : LongMs;
    };
    fleet.advance(delay_ms - 100);
    fleet.restartWithSameId(fleet.Chosen);
    fleet.finish();
  }
}

// Guards against two runs of a task at one endpoint: a start had no answer four
// times, the third and fourth try had a run number of their own, and the next
// incarnation carried out tries with both numbers.
TEST_CASE("a start without an answer keeps its run number at the endpoint") {
  for (int64_t delay_ms = 4 * Second; delay_ms < LongestDelayMs;
       delay_ms += 700) {
    CAPTURE(delay_ms);
    LateFleet fleet(4, delay_ms, LongMs);
    fleet.advance(delay_ms - 100);
    REQUIRE(fleet.endpointOf(fleet.Chosen).DelayedStarts == 0);
    fleet.endpointOf(fleet.Chosen).Unreachable = true;
    fleet.restartWithSameId(fleet.Chosen);
    fleet.endpointOf(fleet.Chosen).Unreachable = true;
    fleet.advance(3 * Second);
    fleet.endpointOf(fleet.Chosen).Unreachable = false;
    fleet.finish();
  }
}

// As above, with a change of leader between the try and the restart: the next
// leader finds the endpoint idle and does not know of the try.
TEST_CASE("a new leader waits for late starts of the one before") {
  for (int64_t delay_ms = 4 * Second; delay_ms < LongestDelayMs;
       delay_ms += 700) {
    CAPTURE(delay_ms);
    LateFleet fleet(1, delay_ms, LongMs);
    // The start has had no answer, and its second try is not sent yet.
    fleet.advance(490);
    fleet.endpointOf(fleet.Chosen).DelayedStarts = 0;
    fleet.changeLeader();
    // The new leader places the task elsewhere.
    fleet.drain(fleet.Chosen);
    fleet.advance(delay_ms - 510 - 300 - 100);
    fleet.restartWithSameId(fleet.Chosen);
    fleet.endpointOf(fleet.Chosen).Facts.Draining = false;
    fleet.finish();
  }
}

// As above: the leader hands over as planned while the start is outstanding.
TEST_CASE("a planned change of leader passes outstanding starts on") {
  constexpr int64_t HandOverMs = 600;
  LateFleet fleet(1, 4 * Second, LongMs);
  bool ready = false;
  fleet.dispatcher().prepareHandOver([&] { ready = true; });
  CHECK_FALSE(ready);
  fleet.advance(HandOverMs + 100);
  CHECK(ready);
  CHECK(fleet.ledger().Jobs.begin()->second.UnansweredStarts.size() == 1);
}

TEST_CASE("a planned change of leader waits for no answer if none is due") {
  Fleet fleet(2);
  fleet.submit(jobId(1), oneStep(1, Cores, LongMs));
  fleet.advance(100);
  bool ready = false;
  fleet.dispatcher().prepareHandOver([&] { ready = true; });
  CHECK(ready);
}
