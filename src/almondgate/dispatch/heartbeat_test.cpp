#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::EndpointFacts;
using jobs::JobState;

namespace {

constexpr int64_t TaskMs = 6000;

/// A fleet whose endpoints are at work, and the heartbeats of another writer.
struct WorkingFleet : Fleet {
  WorkingFleet() : Fleet(3) {
    submit(jobId(1), oneStep(6, 32, TaskMs));
    advance(500);
    REQUIRE(running() == 6);
  }

  EndpointFacts factsOf(size_t vm) { return endpointOf(VmIds[vm]).Facts; }

  /// Delivers a heartbeat that must be acknowledged and change nothing.
  void deliver(const EndpointFacts &facts) {
    constexpr int64_t LateSequence = 1000000;
    bool acknowledged = false;
    dispatcher().handleHeartbeat(
        facts, LateSequence,
        [&](const core::Status &status) { acknowledged = bool(status); });
    advance(100);
    CHECK(acknowledged);
  }

  void checkUndisturbed() {
    advance(TaskMs);
    CHECK(stateOf(jobId(1)) == JobState::Completed);
    checkViolations();
    for (const auto &vm : VmIds) {
      CHECK(dispatcher().endpoints().contains(endpointOf(vm).Facts.Id));
      CHECK(endpointOf(vm).Starts == 2);
    }
  }
};

} // namespace

// Guards against a heartbeat of an unknown service that ended an endpoint at
// work: its tasks ran twice, and it was out of use for good.
TEST_CASE("a heartbeat of a pool that isn't configured ends no endpoint") {
  WorkingFleet fleet;
  EndpointFacts foreign = fleet.factsOf(0);
  foreign.Pool = core::PoolId("elsewhere");
  foreign.BornMs = fleet.now();
  SUBCASE("with the address of another endpoint") {
    foreign.Id = jobs::EndpointId("foreign");
    foreign.Vm = core::VmId();
  }
  SUBCASE("with the VM of another endpoint") {
    foreign.Id = jobs::EndpointId("foreign");
    foreign.At.Port = 1;
  }
  SUBCASE("with the id of an endpoint and a later birth") {}
  SUBCASE("that drains") { foreign.Draining = true; }
  fleet.deliver(foreign);
  fleet.checkUndisturbed();
}

// As above, for heartbeats that name a known incarnation.
TEST_CASE("a heartbeat can't change what an incarnation is") {
  WorkingFleet fleet;
  EndpointFacts foreign = fleet.factsOf(0);
  SUBCASE("unknown pool") { foreign.Pool = core::PoolId("elsewhere"); }
  SUBCASE("other pool") { foreign.Pool = core::PoolId("spare"); }
  SUBCASE("address of another endpoint") { foreign.At = fleet.factsOf(1).At; }
  SUBCASE("VM of another endpoint") { foreign.Vm = fleet.factsOf(1).Vm; }
  fleet.deliver(foreign);
  fleet.checkUndisturbed();
}

TEST_CASE("an endpoint is used once its pool is configured") {
  Fleet fleet(1);
  const auto vm = fleet.addVm("late");
  fleet.advance(100);
  const auto id = fleet.endpointOf(vm).Facts.Id;
  CHECK_FALSE(fleet.dispatcher().endpoints().contains(id));
  fleet.configure([](jobs::FleetConfig &config) {
    config.Pools.push_back({core::PoolId("late")});
  });
  fleet.advance(2000);
  CHECK(fleet.dispatcher().endpoints().contains(id));
}

// An operator may remove a pool whose endpoints still report.
TEST_CASE("an endpoint of a pool that was removed can still drain and leave") {
  WorkingFleet fleet;
  fleet.configure([](jobs::FleetConfig &config) {
    config.Pools.erase(config.Pools.begin());
    config.Queues.clear();
  });
  fleet.drain(fleet.VmIds[0]);
  fleet.advance(100);
  const auto &known = fleet.dispatcher().endpoints();
  CHECK(known.at(fleet.factsOf(0).Id).Facts.Draining);
}

namespace {

/// A fleet of one endpoint and slow commits. Heartbeats are delivered by the
/// test.
struct SlowCommitFleet : Fleet {
  static constexpr int64_t SlowCommitMs = 500;

  SlowCommitFleet() : Fleet(1) {
    advance(1000);
    CommitMs = SlowCommitMs;
  }

  const core::VmId &vm() const { return VmIds[0]; }
  EndpointFacts facts() { return endpointOf(vm()).Facts; }

  /// Delivers a heartbeat, which may have been delayed.
  void deliver(const EndpointFacts &facts, int64_t sequence) {
    dispatcher().handleHeartbeat(facts, sequence, [](const core::Status &) {});
  }

  /// Starts the endpoint again under its id. It sends no heartbeat of its own
  /// during the test.
  void restartSilently() {
    constexpr int64_t SilentMs = 20000;
    restartWithSameId(vm(), {.DownMs = 1, .HeartbeatDelayMs = SilentMs});
    advance(20);
  }

  int64_t knownBirth() { return known().Facts.BornMs; }
  const EndpointView &known() {
    return dispatcher().endpoints().at(facts().Id);
  }
  int64_t recordedBirth() { return ledger().Endpoints.at(facts().Id).BornMs; }
};

} // namespace

// Guards against tasks that ran twice: a delayed heartbeat of an older
// incarnation arrived while the record of a newer one was being made durable,
// and displaced it. The runs of the newer one were taken for lost.
TEST_CASE("a delayed heartbeat displaces no incarnation that is recorded") {
  SlowCommitFleet fleet;
  fleet.restartSilently();
  const auto older = fleet.facts();
  fleet.restartSilently();
  const auto newer = fleet.facts();
  REQUIRE(older.BornMs < newer.BornMs);
  int64_t after_ms = 0;
  SUBCASE("in the same batch") {}
  SUBCASE("while the record is made durable") {
    after_ms = SlowCommitFleet::SlowCommitMs / 2;
  }
  const int64_t registrations = fleet.Registrations;
  fleet.deliver(newer, 1);
  fleet.advance(after_ms);
  fleet.deliver(older, 1);
  for (int64_t ms = 0; ms < 3 * SlowCommitFleet::SlowCommitMs; ms += 10) {
    fleet.advance(10);
    CHECK(fleet.knownBirth() != older.BornMs);
    CHECK(fleet.recordedBirth() != older.BornMs);
  }
  CHECK(fleet.knownBirth() == newer.BornMs);
  CHECK(fleet.Registrations == registrations + 1);
}

// As above, for the record with which an endpoint that was declared lost is
// used again.
TEST_CASE("a return to use displaces no incarnation that is recorded") {
  SlowCommitFleet fleet;
  const auto older = fleet.facts();
  fleet.endpointOf(fleet.vm()).Unreachable = true;
  const auto is_idle = [&] { return fleet.known().Facts.Idle; };
  for (int64_t ms = 0; ms < 20000 && !is_idle(); ms += 10)
    fleet.advance(10);
  REQUIRE(is_idle());
  constexpr int64_t LongCommitMs = 3000;
  fleet.CommitMs = LongCommitMs;
  auto newer = older;
  newer.BornMs = fleet.now();
  const int64_t registrations = fleet.Registrations;
  fleet.deliver(newer, 1);
  fleet.endpointOf(fleet.vm()).Unreachable = false;
  const auto returns = [&] { return !fleet.known().DeclaredLost; };
  for (int64_t ms = 0; ms < LongCommitMs && !returns(); ++ms)
    fleet.advance(1);
  REQUIRE(returns());
  REQUIRE(fleet.knownBirth() == older.BornMs);
  fleet.advance(3 * LongCommitMs);
  CHECK(fleet.recordedBirth() == newer.BornMs);
  CHECK(fleet.knownBirth() == newer.BornMs);
  CHECK(fleet.Registrations == registrations + 1);
}

// Guards against a drain that takes back the loss of its endpoint, whose record
// was not durable yet: late starts could then get a lease before their stops.
TEST_CASE("a drain doesn't take back that its endpoint is lost") {
  SlowCommitFleet fleet;
  fleet.endpointOf(fleet.vm()).Unreachable = true;
  const auto is_lost = [&] { return fleet.known().DeclaredLost; };
  for (int64_t ms = 0; ms < 20000 && !is_lost(); ++ms)
    fleet.advance(1);
  REQUIRE(is_lost());
  REQUIRE_FALSE(fleet.known().Facts.Idle);
  auto drains = fleet.facts();
  drains.Draining = true;
  constexpr int64_t LateSequence = 1000000;
  fleet.deliver(drains, LateSequence);
  fleet.advance(SlowCommitFleet::SlowCommitMs + 10);
  for (int64_t ms = 0; ms < 3 * SlowCommitFleet::SlowCommitMs; ms += 10) {
    CHECK(fleet.known().Facts.Idle);
    CHECK(fleet.known().DeclaredLost);
    fleet.advance(10);
  }
  CHECK(fleet.known().Facts.Draining);
}

// As above, for a drain whose record becomes durable after the loss was found.
TEST_CASE("a drain of before doesn't take back that its endpoint is lost") {
  SlowCommitFleet fleet;
  constexpr int64_t LongCommitMs = 10000;
  fleet.CommitMs = LongCommitMs;
  fleet.endpointOf(fleet.vm()).Unreachable = true;
  auto drains = fleet.facts();
  drains.Draining = true;
  constexpr int64_t LateSequence = 1000000;
  fleet.deliver(drains, LateSequence);
  const auto is_lost = [&] { return fleet.known().DeclaredLost; };
  for (int64_t ms = 0; ms < LongCommitMs && !is_lost(); ++ms)
    fleet.advance(1);
  REQUIRE(is_lost());
  for (int64_t ms = 0; ms < LongCommitMs; ms += 10) {
    CHECK(fleet.known().DeclaredLost);
    fleet.advance(10);
  }
}

// Guards against starts at an endpoint that drains: the record with which it
// returned to use was older than the drain, and took it back for a while.
TEST_CASE("a return to use doesn't take back a drain") {
  SlowCommitFleet fleet;
  fleet.endpointOf(fleet.vm()).Unreachable = true;
  const auto is_idle = [&] { return fleet.known().Facts.Idle; };
  for (int64_t ms = 0; ms < 20000 && !is_idle(); ms += 10)
    fleet.advance(10);
  REQUIRE(is_idle());
  fleet.endpointOf(fleet.vm()).Unreachable = false;
  for (int64_t ms = 0; ms < 20000 && fleet.known().DeclaredLost; ++ms)
    fleet.advance(1);
  REQUIRE_FALSE(fleet.known().DeclaredLost);
  REQUIRE(fleet.known().Facts.Idle);
  fleet.advance(SlowCommitFleet::SlowCommitMs / 2);
  fleet.drain(fleet.vm());
  for (int64_t ms = 0; ms < 3 * SlowCommitFleet::SlowCommitMs; ms += 10) {
    CHECK(fleet.known().Facts.Draining);
    fleet.advance(10);
  }
  CHECK_FALSE(fleet.known().Facts.Idle);
}

// Guards against an outdated heartbeat of an incarnation that is taken because
// the newer one's record is not durable yet.
TEST_CASE("an outdated heartbeat of a new incarnation changes nothing") {
  SlowCommitFleet fleet;
  fleet.restartSilently();
  auto newer = fleet.facts();
  auto outdated = newer;
  newer.Capacity.MilliCpus /= 2;
  int64_t after_ms = 0;
  SUBCASE("while the record is made durable") {}
  SUBCASE("once it is") { after_ms = 2 * SlowCommitFleet::SlowCommitMs; }
  fleet.deliver(newer, 2);
  fleet.advance(after_ms);
  fleet.deliver(outdated, 1);
  fleet.advance(3 * SlowCommitFleet::SlowCommitMs);
  CHECK(fleet.known().Facts.Capacity == newer.Capacity);
}
