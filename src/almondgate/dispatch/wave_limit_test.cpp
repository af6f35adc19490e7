#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

constexpr int64_t WaveMs = 60000;

/// A wave with the limit 1 whose first order the VM service does not take.
struct HeldUpFleet : Fleet {
  HeldUpFleet() : Fleet(6) {
    startWave(1, VmIds, 1, WaveMs);
    VmServiceUnresponsive = true;
    const auto &begun = ledger().Waves.at(1).Begun;
    for (int i = 0; i < 5000 && begun.empty(); ++i)
      advance(1);
    REQUIRE(begun.size() == 1);
    First = begun.begin()->first;
  }

  core::VmId First;
};

void checkWave(Fleet &fleet, int64_t number) {
  CHECK(fleet.ledger().Waves.at(number).isCompleted());
  fleet.checkViolations();
}

} // namespace

// Guards against maintenance above the limit of its wave: the VM service took
// no order for a while, and an endpoint that crashed and returned meanwhile was
// taken for back from its maintenance.
TEST_CASE("a crash before maintenance is ordered does not end it") {
  for (const int64_t crash_ms : {0, 500, 1000, 1900}) {
    CAPTURE(crash_ms);
    HeldUpFleet fleet;
    fleet.advance(crash_ms);
    fleet.restart(fleet.First);
    fleet.advance(2000 - crash_ms);
    fleet.VmServiceUnresponsive = false;
    fleet.advance(WaveMs);
    checkWave(fleet, 1);
  }
}

// As above, for an incarnation that is reported only after the order was
// confirmed.
TEST_CASE("an incarnation that is reported late does not end maintenance") {
  HeldUpFleet fleet;
  fleet.advance(1000);
  fleet.restart(fleet.First);
  auto late = fleet.endpointOf(fleet.First).Facts;
  late.Id = jobs::EndpointId("late");
  late.BornMs += 1;
  late.At.Port = 1;
  fleet.VmServiceUnresponsive = false;
  fleet.advance(600);
  fleet.dispatcher().handleHeartbeat(late, 1, [](const core::Status &) {});
  fleet.advance(WaveMs);
  checkWave(fleet, 1);
}

// Guards against two waves that each took a VM of both for switched off while
// the other one had it down.
TEST_CASE("waves that share VMs keep their limits") {
  Fleet fleet(6);
  fleet.startWave(1, fleet.VmIds, 1, WaveMs);
  fleet.startWave(2, fleet.VmIds, 2, WaveMs);
  fleet.advance(WaveMs);
  checkWave(fleet, 1);
  checkWave(fleet, 2);
  for (const auto &vm : fleet.VmIds)
    CHECK(fleet.MaintenanceCounts[vm] == 2);
}

TEST_CASE("waves that share VMs keep their limits through changes of leader") {
  Fleet fleet(6);
  fleet.startWave(1, fleet.VmIds, 1, WaveMs);
  fleet.startWave(2, fleet.VmIds, 1, WaveMs);
  for (int i = 0; i < 4; ++i) {
    fleet.advance(2700);
    fleet.changeLeader();
  }
  fleet.advance(WaveMs);
  checkWave(fleet, 1);
  checkWave(fleet, 2);
}

// Guards against a wave that never ends since a VM's endpoint is gone and
// nobody said so: the leader that moved the VM was lost.
TEST_CASE("a wave goes on over a VM whose endpoint was lost") {
  Fleet fleet(3);
  fleet.endpointOf(fleet.VmIds[0]).Unreachable = true;
  SUBCASE("under this leader") { fleet.advance(5000); }
  SUBCASE("under the last leader") { fleet.changeLeader(); }
  fleet.startWave(1, fleet.VmIds, 1, WaveMs);
  fleet.advance(WaveMs);
  checkWave(fleet, 1);
  CHECK(fleet.MaintenanceCounts[fleet.VmIds[0]] == 1);
}

// Guards against the end of the leader's process: it repeated an order that the
// VM service had refused, and the record of that came before the answer.
TEST_CASE("maintenance that the VM service refuses late is not ordered again") {
  Fleet fleet(2);
  fleet.RefusedVms = {fleet.VmIds[0]};
  fleet.VmConnectMs = 700;
  fleet.CommitMs = 1200;
  fleet.startWave(1, fleet.VmIds, 1, WaveMs);
  fleet.advance(WaveMs);
  fleet.CommitMs = 5;
  fleet.advance(WaveMs);
  checkWave(fleet, 1);
  CHECK(fleet.MaintenanceCounts[fleet.VmIds[0]] == 0);
  CHECK(fleet.MaintenanceCounts[fleet.VmIds[1]] == 1);
}
