#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

/// Long-running tasks of which each takes a VM for itself.
jobs::JobSpec wide(int64_t count, int64_t may_miss) {
  auto spec = longRunning(count, may_miss);
  spec.Steps[0].Need.MilliCpus = 40000;
  return spec;
}

void checkPromises(const Fleet &fleet) {
  for (const auto &broken : fleet.Violations)
    FAIL_CHECK(broken);
}

} // namespace

TEST_CASE(
    "availability: a run at work outlives the lost answers of its start") {
  Fleet fleet(6);
  fleet.StartupMs = 300;
  fleet.submit(jobId(1), longRunning(6, 1));
  fleet.advance(2000);
  // Two tasks of six start anew, and the answers to both starts get lost.
  fleet.restart(fleet.VmIds[0]);
  fleet.restart(fleet.VmIds[1]);
  for (const auto &vm : fleet.VmIds)
    fleet.endpointOf(vm).LostReplies = 4;
  fleet.advance(8000);
  checkPromises(fleet);
}

TEST_CASE("availability: an upkeep is withheld once others are gone") {
  // Two records come between its decision and its order.
  Fleet fleet(6);
  fleet.submit(jobId(1), wide(4, 1));
  fleet.advance(4000);
  fleet.StartupMs = 5000;
  fleet.startWave(1, {fleet.VmIds[0]}, 1, 60000);
  fleet.CommitMs = 1200;
  fleet.advance(100);
  fleet.restart(fleet.VmIds[1]);
  fleet.advance(6000);
  fleet.CommitMs = 5;
  fleet.advance(20000);
  CHECK(fleet.dispatcher().isWaveCompleted(1).value());
  checkPromises(fleet);
}

TEST_CASE("availability: a move that is tried again ends no work come since") {
  Fleet fleet(6);
  fleet.VmServiceSilent = true;
  fleet.submit(jobId(7), oneStep(1, 1, 10));
  fleet.advance(6000);
  // The VMs that are to leave start anew meanwhile, and could take work.
  for (const auto &vm : fleet.VmIds)
    fleet.restart(vm);
  fleet.advance(50);
  fleet.submit(jobId(1), longRunning(6, 1));
  fleet.advance(300);
  fleet.VmServiceSilent = false;
  fleet.advance(10000);
  checkPromises(fleet);
}

TEST_CASE("availability: a new leader counts VMs whose upkeep has begun") {
  Fleet fleet(4);
  fleet.submit(jobId(1), wide(4, 1));
  fleet.advance(4000);
  fleet.VmOrderDelayMs = 1500;
  fleet.startWave(1, {fleet.VmIds[0], fleet.VmIds[1]}, 2, 4000);
  for (int i = 0; i < 100 && fleet.ledger().Waves.at(1).Begun.empty(); ++i)
    fleet.advance(10);
  REQUIRE(fleet.ledger().Waves.at(1).Begun.size() == 1);
  fleet.advance(20);
  fleet.lead();
  fleet.VmOrderDelayMs = 0;
  fleet.advance(20000);
  CHECK(fleet.dispatcher().isWaveCompleted(1).value());
  checkPromises(fleet);
}

TEST_CASE("an upkeep whose order got no answer is ordered again") {
  Fleet fleet(3);
  fleet.submit(jobId(1), longRunning(6, 2));
  fleet.advance(2000);
  fleet.VmServiceSilent = true;
  fleet.startWave(1, {fleet.VmIds[0]}, 1, 20000);
  fleet.advance(6000);
  fleet.VmServiceSilent = false;
  fleet.advance(10000);
  CHECK(fleet.dispatcher().isWaveCompleted(1).value());
  checkPromises(fleet);
}

TEST_CASE("availability: a VM with an open order takes no work in a new life") {
  // The order is carried out late, after the VM's endpoint started anew.
  Fleet fleet(6);
  fleet.submit(jobId(7), oneStep(1, 1, 10));
  fleet.advance(3500);
  fleet.VmOrderDelayMs = 3000;
  fleet.advance(2000);
  for (const auto &vm : fleet.VmIds)
    fleet.restart(vm);
  fleet.advance(20);
  fleet.submit(jobId(1), longRunning(6, 1));
  fleet.advance(12000);
  CHECK(fleet.Moves > 0);
  checkPromises(fleet);
}

TEST_CASE("an order that an endpoint's next life may carry out runs once") {
  // The endpoint falls silent as orders leave, and starts anew under its id.
  for (const int64_t late_ms : {0, 3000}) {
    CAPTURE(late_ms);
    Fleet fleet(5);
    fleet.StartupMs = 300;
    auto &silent = fleet.endpointOf(fleet.VmIds[0]);
    silent.DelayedStarts = late_ms > 0 ? 4 : 0;
    silent.StartDelayMs = late_ms;
    silent.Unreachable = late_ms == 0;
    fleet.submit(jobId(1), wide(3, 1));
    fleet.advance(300);
    fleet.restartWithSameId(fleet.VmIds[0]);
    fleet.advance(9000);
    checkPromises(fleet);
    CHECK(fleet.running() == 3);
  }
}

TEST_CASE("availability: an order whose connection opens late stays here") {
  // Found on fde-goud, hunt-54b9-27 (ONE): a leader froze as the connection
  // for its order was opened, and sent the order 6 s later.
  Fleet fleet(6);
  fleet.submit(jobId(1), wide(4, 1));
  fleet.advance(4000);
  fleet.VmConnectMs = 1000;
  fleet.startWave(1, {fleet.VmIds[0]}, 1, 60000);
  fleet.advance(500);
  fleet.MayAct = false;
  fleet.advance(2000);
  CHECK(fleet.MaintenanceCounts.empty());
  fleet.MayAct = true;
  fleet.VmConnectMs = 0;
  fleet.advance(20000);
  CHECK(fleet.dispatcher().isWaveCompleted(1).value());
  checkPromises(fleet);
}
