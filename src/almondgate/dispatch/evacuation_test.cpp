#include "almondgate/jobs/name_limits.hpp"

#include "test_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

/// A fleet of one pool with `per_zone` VMs in each of the zones "a" and "b",
/// each zone on racks of its own.
struct ZonedFleet : Fleet {
  std::vector<core::VmId> InA;
  std::vector<core::VmId> InB;
  std::vector<core::VmId> Spare;

  explicit ZonedFleet(int per_zone, int spare = 0,
                      const std::string &spare_zone = "a")
      : Fleet(0) {
    for (int i = 0; i < per_zone; ++i) {
      InA.push_back(addVm("p", "ra", "a"));
      InB.push_back(addVm("p", "rb", "b"));
    }
    for (int i = 0; i < spare; ++i)
      Spare.push_back(addVm("spare", "r" + spare_zone, spare_zone));
    // The next leader reads the list of the VMs anew.
    changeLeader(0);
    advance(4000);
  }

  bool isAnySpareUp() const {
    return std::any_of(Spare.begin(), Spare.end(),
                       [this](const auto &vm) { return isUp(vm); });
  }

  using Outcome = std::shared_ptr<std::optional<core::Status>>;
  static Outcome newOutcome() {
    return std::make_shared<std::optional<core::Status>>();
  }
  bool isEvacuated(const std::string &zone) const {
    return ledger().Evacuations.contains(core::ZoneId(zone));
  }
};

bool hasError(const ZonedFleet::Outcome &outcome, core::ErrorCode code) {
  return *outcome && !**outcome && (*outcome)->error().Code == code;
}

/// A job of short tasks, one of which fills a VM.
jobs::JobSpec wholeVms(int64_t count, int64_t ms) {
  return oneStep(count, 64, ms);
}

} // namespace

// Guards against starts in a zone that an operator is about to take down.
TEST_CASE("nothing is started in a zone under evacuation") {
  ZonedFleet fleet(3);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.submit(jobId(1), wholeVms(6, 300));
  fleet.advance(100);
  CHECK(fleet.runningIn("a") == 0);
  CHECK(fleet.runningIn("b") == 3);
  fleet.advance(2000);
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  REQUIRE(fleet.setEvacuation("a", false));
  fleet.submit(jobId(2), wholeVms(6, 300));
  fleet.advance(100);
  CHECK(fleet.runningIn("a") == 3);
  fleet.checkViolations();
}

// Guards against work that is thrown away although it ends soon.
TEST_CASE("short tasks in a zone under evacuation run to completion") {
  ZonedFleet fleet(2);
  fleet.submit(jobId(1), wholeVms(4, 3000));
  fleet.advance(100);
  REQUIRE(fleet.runningIn("a") == 2);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(2000);
  CHECK(fleet.runningIn("a") == 2);
  fleet.advance(1500);
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  const int64_t starts = fleet.endpointOf(fleet.InA[0]).Starts;
  CHECK(starts == 1);
  fleet.checkViolations();
}

// Guards against an order that was decided before the evacuation and is sent
// after it, and against an endpoint that is blamed for it.
TEST_CASE("a start that waits to be sent is withheld") {
  ZonedFleet fleet(2);
  fleet.OrderQueueMs = 200;
  fleet.submit(jobId(1), wholeVms(4, 300));
  fleet.advance(50);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(250);
  CHECK(fleet.runningIn("a") == 0);
  CHECK(fleet.runningIn("b") == 2);
  for (const auto &vm : fleet.InA)
    CHECK_FALSE(fleet.dispatcher()
                    .endpoints()
                    .at(fleet.endpointOf(vm).Facts.Id)
                    .Suspect);
  fleet.advance(3000);
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  fleet.checkViolations();
}

// Guards against a start that is repeated in the zone because its answer was
// lost, and against a second run elsewhere while it may be carried out.
TEST_CASE("a start without an answer is not repeated in the zone") {
  ZonedFleet fleet(1);
  fleet.endpointOf(fleet.InA[0]).DelayedStarts = 1;
  fleet.endpointOf(fleet.InA[0]).StartDelayMs = 4000;
  fleet.submit(jobId(1), wholeVms(2, 100));
  fleet.advance(20);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(20000);
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  CHECK(fleet.endpointOf(fleet.InA[0]).Starts <= 1);
  fleet.checkViolations();
}

// Guards against lost availability: moving a step at once, or into nowhere.
TEST_CASE("long-running tasks leave the zone within their budget") {
  ZonedFleet fleet(4);
  fleet.StartupMs = 300;
  fleet.submit(jobId(1), longRunning(8, 1));
  fleet.advance(3000);
  REQUIRE(fleet.runningIn("a") > 0);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(15000);
  CHECK(fleet.runningIn("a") == 0);
  CHECK(fleet.runningIn("b") == 8);
  fleet.checkViolations();
}

TEST_CASE("long-running tasks stay in the zone while nothing else has room") {
  ZonedFleet fleet(2);
  auto spec = longRunning(4, 2);
  spec.Steps[0].Need.MilliCpus = 40000;
  fleet.submit(jobId(1), spec);
  fleet.advance(3000);
  REQUIRE(fleet.runningIn("a") == 2);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(5000);
  CHECK(fleet.runningIn("a") == 2);
  // Room for one of them: the other stays.
  fleet.addVm("p", "rb", "b");
  fleet.advance(5000);
  CHECK(fleet.runningIn("a") == 1);
  CHECK(fleet.running() == 4);
  fleet.checkViolations();
}

// Guards against all tasks of a step without a budget going at once.
TEST_CASE("a step without a budget is moved one task at a time") {
  ZonedFleet fleet(4);
  fleet.StartupMs = 1000;
  auto spec = longRunning(8, 0);
  spec.Steps[0].HasMayMiss = false;
  fleet.submit(jobId(1), spec);
  fleet.advance(3000);
  REQUIRE(fleet.runningIn("a") > 1);
  REQUIRE(fleet.setEvacuation("a", true));
  for (int i = 0; i < 200; ++i) {
    fleet.advance(100);
    CHECK(fleet.running() >= 7);
  }
  CHECK(fleet.runningIn("a") == 0);
  fleet.checkViolations();
}

TEST_CASE("a step whose budget is 0 stays in the zone") {
  ZonedFleet fleet(2);
  fleet.submit(jobId(1), longRunning(4, 0));
  fleet.advance(3000);
  const int64_t before = fleet.runningIn("a");
  REQUIRE(before > 0);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(5000);
  CHECK(fleet.runningIn("a") == before);
  fleet.checkViolations();
}

TEST_CASE("a gang is placed outside the zone, and a running one ends there") {
  ZonedFleet fleet(3);
  fleet.GangTimeoutMs = 1000;
  auto gang = wholeVms(3, 2000);
  gang.Steps[0].Gang = true;
  gang.Steps[0].SameRack = true;
  fleet.submit(jobId(1), gang);
  fleet.advance(300);
  const std::string first = fleet.runningIn("a") > 0 ? "a" : "b";
  REQUIRE(fleet.runningIn(first) == 3);
  REQUIRE(fleet.setEvacuation(first, true));
  fleet.submit(jobId(2), gang);
  fleet.advance(300);
  CHECK(fleet.runningIn(first) == 3);
  CHECK(fleet.running() == 6);
  fleet.advance(6000);
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  CHECK(fleet.stateOf(jobId(2)) == jobs::JobState::Completed);
  fleet.checkViolations();
}

// Guards against a task that waits for data it can't get near to.
TEST_CASE("a task does not wait for a rack under evacuation") {
  ZonedFleet fleet(2);
  auto near = wholeVms(1, 300);
  near.Steps[0].Affinity = core::RackId("ra");
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.submit(jobId(1), near);
  fleet.advance(100);
  CHECK(fleet.runningIn("b") == 1);
  fleet.checkViolations();
}

// Guards against jobs that are accepted and can't be served.
TEST_CASE("a pool whose zones are all under evacuation refuses jobs") {
  ZonedFleet fleet(2);
  REQUIRE(fleet.setEvacuation("a", true));
  CHECK(fleet.submit(jobId(1), wholeVms(1, 100)).Outcome ==
        jobs::JobOutcome::Done);
  REQUIRE(fleet.setEvacuation("b", true));
  const auto refusal = fleet.submit(jobId(2), wholeVms(1, 100));
  CHECK(refusal.Outcome == jobs::JobOutcome::Refused);
  CHECK(refusal.RetryAfterMs > 0);
  CHECK(fleet.submit(jobId(3), longRunning(2, 1)).Outcome ==
        jobs::JobOutcome::Refused);
  REQUIRE(fleet.setEvacuation("b", false));
  CHECK(fleet.submit(jobId(4), wholeVms(1, 100)).Outcome ==
        jobs::JobOutcome::Done);
  fleet.checkViolations();
}

// Guards against VMs that are brought in and may not be used.
TEST_CASE("spare VMs of the zone are brought into no pool") {
  ZonedFleet fleet(2, 4);
  REQUIRE(fleet.setEvacuation("a", true));
  for (int i = 1; i <= 6; ++i)
    fleet.submit(jobId(i), wholeVms(4, 500));
  fleet.advance(4000);
  CHECK_FALSE(fleet.isAnySpareUp());
  REQUIRE(fleet.setEvacuation("a", false));
  for (int i = 7; i <= 14; ++i)
    fleet.submit(jobId(i), wholeVms(4, 500));
  fleet.advance(4000);
  CHECK(fleet.isAnySpareUp());
  fleet.checkViolations();
}

TEST_CASE("a pool without a zone is served by spare VMs of another one") {
  ZonedFleet fleet(2, 4, "c");
  REQUIRE(fleet.setEvacuation("a", true));
  REQUIRE(fleet.setEvacuation("b", true));
  CHECK(fleet.submit(jobId(1), wholeVms(2, 500)).Outcome ==
        jobs::JobOutcome::Done);
  fleet.advance(5000);
  CHECK(fleet.isAnySpareUp());
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  fleet.checkViolations();
}

// Guards against a move that was decided before the evacuation.
TEST_CASE("a move whose order waits to be sent is withheld") {
  ZonedFleet fleet(2, 4);
  fleet.VmConnectMs = 500;
  for (int i = 1; i <= 6; ++i)
    fleet.submit(jobId(i), wholeVms(4, 500));
  fleet.advance(100);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(4000);
  CHECK_FALSE(fleet.isAnySpareUp());
  fleet.checkViolations();
}

TEST_CASE("a wave maintains the VMs of a zone under evacuation") {
  ZonedFleet fleet(3);
  fleet.submit(jobId(1), longRunning(6, 1));
  fleet.advance(3000);
  fleet.startWave(1, fleet.InA, 1, 20000);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.advance(25000);
  CHECK(fleet.dispatcher().isWaveCompleted(1).value());
  CHECK(fleet.runningIn("a") == 0);
  CHECK(fleet.running() == 6);
  fleet.checkViolations();
}

// Guards against an evacuation that ends with the leader that acknowledged it.
TEST_CASE("an evacuation holds under the next leader") {
  ZonedFleet fleet(2);
  fleet.submit(jobId(1), wholeVms(4, 2000));
  fleet.advance(100);
  REQUIRE(fleet.setEvacuation("a", true));
  fleet.changeLeader();
  CHECK(fleet.isEvacuated("a"));
  fleet.submit(jobId(2), wholeVms(4, 200));
  fleet.advance(12000);
  CHECK(fleet.stateOf(jobId(2)) == jobs::JobState::Completed);
  CHECK(fleet.endpointOf(fleet.InA[0]).Starts == 1);
  REQUIRE(fleet.setEvacuation("a", false));
  fleet.changeLeader();
  CHECK_FALSE(fleet.isEvacuated("a"));
  fleet.checkViolations();
}

TEST_CASE("an evacuation is withdrawn and requested again in series") {
  ZonedFleet fleet(2);
  for (int64_t i = 1; i <= 30; ++i) {
    REQUIRE(fleet.setEvacuation("a", i % 2 == 1));
    fleet.submit(jobId(i), wholeVms(2, 100));
    fleet.advance(10 * (i % 7));
    if (i % 5 == 0)
      fleet.changeLeader(50 * (i % 3));
  }
  CHECK_FALSE(fleet.isEvacuated("a"));
  fleet.advance(15000);
  CHECK(fleet.running() == 0);
  fleet.checkViolations();
}

// Guards against a delayed duplicate of an old call that undoes a newer one.
TEST_CASE("a change with an outdated basis is refused") {
  ZonedFleet fleet(1);
  const auto before = fleet.evacuationBasis();
  REQUIRE(fleet.setEvacuation("a", true));
  const auto late = ZonedFleet::newOutcome();
  fleet.sendEvacuation("a", false, before, late);
  fleet.advance(100);
  CHECK(hasError(late, core::ErrorCode::Conflict));
  CHECK(fleet.isEvacuated("a"));
}

// The newer call recorded nothing, as its change was in effect already.
TEST_CASE("an old call can't undo a newer one that was only confirmed") {
  ZonedFleet fleet(1);
  REQUIRE(fleet.setEvacuation("a", true));
  const auto before = fleet.evacuationBasis();
  const auto revision = fleet.ledger().EvacuationRevision;
  REQUIRE(fleet.setEvacuation("a", true));
  CHECK(fleet.ledger().EvacuationRevision == revision);
  const auto late = ZonedFleet::newOutcome();
  fleet.sendEvacuation("a", false, before, late);
  fleet.advance(100);
  CHECK(hasError(late, core::ErrorCode::Conflict));
  CHECK(fleet.isEvacuated("a"));
}

// The zone is still under evacuation when the newer call arrives, and the
// older one is about to become durable.
TEST_CASE("a call is not acknowledged while an opposite one is pending") {
  ZonedFleet fleet(1);
  REQUIRE(fleet.setEvacuation("a", true));
  const auto basis = fleet.evacuationBasis();
  fleet.CommitMs = 200;
  const auto older = ZonedFleet::newOutcome();
  const auto newer = ZonedFleet::newOutcome();
  fleet.sendEvacuation("a", false, basis, older);
  fleet.advance(50);
  fleet.sendEvacuation("a", true, basis, newer);
  CHECK_FALSE(newer->has_value());
  fleet.advance(500);
  CHECK(bool(older->value()));
  CHECK(hasError(newer, core::ErrorCode::Conflict));
  CHECK(fleet.setEvacuation("a", true));
}

TEST_CASE("of two operators at once, one has to read again") {
  ZonedFleet fleet(1);
  const auto basis = fleet.evacuationBasis();
  const auto first = ZonedFleet::newOutcome();
  const auto second = ZonedFleet::newOutcome();
  fleet.sendEvacuation("a", true, basis, first);
  fleet.sendEvacuation("b", true, basis, second);
  fleet.advance(100);
  CHECK(bool(first->value()));
  CHECK(hasError(second, core::ErrorCode::Conflict));
  CHECK(fleet.setEvacuation("b", true));
  CHECK(fleet.ledger().Evacuations.size() == 2);
}

TEST_CASE("a leader that another may have replaced changes nothing") {
  ZonedFleet fleet(1);
  const auto basis = fleet.evacuationBasis();
  fleet.MayAct = false;
  const auto outcome = ZonedFleet::newOutcome();
  fleet.sendEvacuation("a", true, basis, outcome);
  CHECK(hasError(outcome, core::ErrorCode::NotLeader));
  CHECK_FALSE(fleet.dispatcher().evacuations().has_value());
  fleet.MayAct = true;
  fleet.advance(100);
  CHECK_FALSE(fleet.isEvacuated("a"));
  // The basis of another leader does not hold either.
  fleet.changeLeader();
  fleet.sendEvacuation("a", true, basis, outcome);
  fleet.advance(100);
  CHECK(hasError(outcome, core::ErrorCode::Conflict));
}

// Guards against an acknowledgement of what may be lost.
TEST_CASE("a change is acknowledged only once it is durable") {
  ZonedFleet fleet(1);
  fleet.CommitMs = 300;
  const auto outcome = ZonedFleet::newOutcome();
  fleet.sendEvacuation("a", true, fleet.evacuationBasis(), outcome);
  fleet.advance(100);
  CHECK_FALSE(outcome->has_value());
  fleet.changeLeader();
  CHECK(hasError(outcome, core::ErrorCode::Unavailable));
}

TEST_CASE("evacuations are limited in number and in their names") {
  ZonedFleet fleet(1);
  for (size_t i = 0; i < jobs::MaxEvacuations; ++i)
    REQUIRE(fleet.setEvacuation("zone-" + std::to_string(i), true));
  const auto outcome = ZonedFleet::newOutcome();
  fleet.sendEvacuation("one-more", true, fleet.evacuationBasis(), outcome);
  CHECK(hasError(outcome, core::ErrorCode::NeverFits));
  CHECK(fleet.setEvacuation("zone-0", true));
  CHECK(fleet.setEvacuation("zone-1", false));
  CHECK(fleet.setEvacuation("one-more", true));
  fleet.sendEvacuation("a/b", true, fleet.evacuationBasis(), outcome);
  CHECK(hasError(outcome, core::ErrorCode::InvalidArgument));
}

TEST_CASE("the list names the runs that remain") {
  ZonedFleet fleet(1);
  fleet.submit(jobId(1), oneStep(2, 32, 2000));
  fleet.submit(jobId(2), longRunning(2, 0));
  fleet.advance(300);
  REQUIRE(fleet.setEvacuation("a", true));
  const auto list = fleet.dispatcher().evacuations().value();
  CHECK(list.Zones.at(core::ZoneId("a")).By == "test");
  REQUIRE(list.Remaining.size() == 1);
  CHECK(list.Remaining[0].Id == fleet.endpointOf(fleet.InA[0]).Facts.Id);
  CHECK(list.Remaining[0].ShortRuns + list.Remaining[0].LongRuns ==
        fleet.runningIn("a"));
}

// Guards against a heartbeat of another writer that takes an endpoint out of
// its zone.
TEST_CASE("an incarnation keeps its zone") {
  ZonedFleet fleet(1);
  REQUIRE(fleet.setEvacuation("a", true));
  auto facts = fleet.endpointOf(fleet.InA[0]).Facts;
  facts.Zone = core::ZoneId("b");
  constexpr int64_t LateSequence = 1 << 30;
  fleet.dispatcher().handleHeartbeat(facts, LateSequence,
                                     [](const core::Status &) {});
  fleet.advance(100);
  fleet.submit(jobId(1), wholeVms(2, 300));
  fleet.advance(2000);
  CHECK(fleet.endpointOf(fleet.InA[0]).Starts == 0);
  fleet.checkViolations();
}
