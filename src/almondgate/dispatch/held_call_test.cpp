#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobState;

namespace {

constexpr int64_t Second = 1000;
constexpr int64_t LongMs = 20 * Second;
constexpr int64_t ShortMs = 5 * Second;
// More than half of a VM, so that each VM has room for one task.
constexpr int64_t Cores = 40;
// The longest lease, with its margins.
constexpr int64_t LongestLeaseMs = 6300;
// How long a call is open at most, and carried out after that.
constexpr int64_t LongestCallMs = 2000;
constexpr int64_t LongestHoldMs = 12 * Second;
constexpr int64_t UptimeMs = 20 * Second;

/// What happens to the incarnation that takes a call meant for the former one.
enum class Fate {
  /// It is cut off before the leader has heard of it.
  CutOff,
  /// The same, but its heartbeat passes.
  CutOffRegistered,
  /// It is read once before it is cut off.
  CutOffRead,
  /// It is cut off, and the leader changes.
  CutOffLeaderChanges,
};

/// Two VMs. One of them runs a task for ShortMs, so that the next one starts on
/// the other, which has just been restarted under its id and is not heard of.
struct HeldFleet : Fleet {
  HeldFleet() : Fleet(2) {
    // Longer than the longest lease and a held call together.
    advance(UptimeMs);
    submit(jobId(1), oneStep(1, Cores, ShortMs));
    advance(100);
    for (const auto &vm : VmIds)
      if (endpointOf(vm).Runs.empty())
        Chosen = vm;
  }

  void hold(CallKind kind, int64_t ms) {
    CallFault fault;
    fault.HeldMs = ms;
    addFault(Chosen, kind, fault);
  }

  void restart() {
    TestFleet::Return as;
    as.DownMs = 1;
    as.HeartbeatDelayMs = Second;
    restartWithSameId(Chosen, as);
  }

  void meet(Fate fate, int64_t cut_ms) {
    if (fate == Fate::CutOffRead) {
      advance(600);
      sendHeartbeat(Chosen);
      advance(200);
    }
    endpointOf(Chosen).Unreachable = true;
    if (fate == Fate::CutOffRegistered)
      schedule(Second, [this] { sendHeartbeat(Chosen); });
    if (fate == Fate::CutOffLeaderChanges) {
      advance(700);
      changeLeader();
    }
    schedule(cut_ms, [this] { endpointOf(Chosen).Unreachable = false; });
  }

  core::VmId Chosen;
};

} // namespace

// Guards against tasks that run twice: a start for an endpoint's former
// incarnation is carried out seconds after it was given up, by one that is cut
// off, and its lease is as long as can be, as the deadline is by a clock that
// has started anew.
TEST_CASE("the next incarnation carries out a start that was given up") {
  for (const auto fate : {Fate::CutOff, Fate::CutOffRegistered,
                          Fate::CutOffRead, Fate::CutOffLeaderChanges})
    for (const int64_t held_ms : {500, 5000, 7500, 9000, 11900}) {
      CAPTURE(int(fate));
      CAPTURE(held_ms);
      HeldFleet fleet;
      fleet.OrderQueueMs = 50;
      fleet.submitAsync(jobId(2), oneStep(1, Cores, LongMs));
      fleet.advance(20);
      fleet.hold(CallKind::Start, held_ms);
      fleet.restart();
      fleet.advance(100);
      fleet.meet(fate, held_ms + 4 * Second);
      fleet.advance(3 * LongMs);
      fleet.checkViolations();
      CHECK(fleet.stateOf(jobId(2)) == JobState::Completed);
    }
}

// As above, for a long-running task, which waits for late calls only while the
// endpoint is heard.
TEST_CASE("a heard incarnation carries out a lasting start that was given up") {
  for (const int64_t held_ms : {500, 5000, 7500, 9000, 11900}) {
    CAPTURE(held_ms);
    HeldFleet fleet;
    fleet.OrderQueueMs = 50;
    fleet.submitAsync(jobId(2), longRunning(1, 1));
    fleet.advance(20);
    fleet.hold(CallKind::Start, held_ms);
    fleet.restart();
    fleet.advance(100);
    fleet.endpointOf(fleet.Chosen).CallsLost = true;
    const jobs::TaskRef task{jobs::JobId(jobId(2)), 0, 0, 0};
    int64_t at_once = 0;
    for (int64_t ms = 0; ms < held_ms + 4 * Second; ++ms) {
      fleet.advance(1);
      int64_t runs = 0;
      for (const auto &vm : fleet.VmIds)
        runs += int64_t(fleet.endpointOf(vm).Runs.contains(task));
      at_once = std::max(at_once, runs);
    }
    CHECK(at_once < 2);
    fleet.endpointOf(fleet.Chosen).CallsLost = false;
    fleet.advance(3 * Second);
    CHECK(fleet.running() == 1);
    fleet.checkViolations();
  }
}

// As above: the next incarnation runs the task from the start, and a renewal
// for the former one extends its lease seconds after it was given up.
TEST_CASE("the next incarnation carries out a renewal that was given up") {
  for (const auto fate : {Fate::CutOff, Fate::CutOffRegistered,
                          Fate::CutOffRead, Fate::CutOffLeaderChanges})
    for (const int64_t held_ms : {1000, 3000, 5000, 5900}) {
      CAPTURE(int(fate));
      CAPTURE(held_ms);
      HeldFleet fleet;
      fleet.RenewalQueueMs = 50;
      const auto id = fleet.endpointOf(fleet.Chosen).Facts.Id;
      const auto is_queued = [&] {
        return fleet.dispatcher().endpoints().at(id).RenewingLease &&
               fleet.endpointOf(fleet.Chosen).Renewals.empty();
      };
      for (int64_t ms = 0; ms < 2 * Second && !is_queued(); ++ms)
        fleet.advance(1);
      REQUIRE(is_queued());
      fleet.hold(CallKind::Renew, held_ms);
      fleet.restart();
      fleet.submitAsync(jobId(2), oneStep(1, Cores, LongMs));
      fleet.advance(60);
      CHECK(fleet.endpointOf(fleet.Chosen).Runs.size() == 1);
      fleet.meet(fate, held_ms + 10 * Second);
      fleet.advance(3 * LongMs);
      fleet.checkViolations();
      CHECK(fleet.stateOf(jobId(2)) == JobState::Completed);
    }
}

// Guards against waits that are longer than a call can be carried out (rule
// LOST): for a task that may wait, after the start or the renewal was given up;
// long-running tasks wait for the longest lease only, from the last heartbeat
// on.
TEST_CASE("a task leaves an endpoint that holds calls") {
  for (const bool lasts : {false, true})
    for (const auto fate : {Fate::CutOff, Fate::CutOffRegistered}) {
      CAPTURE(lasts);
      CAPTURE(int(fate));
      HeldFleet fleet;
      fleet.OrderQueueMs = 50;
      fleet.submitAsync(jobId(2),
                        lasts ? longRunning(1, 1) : oneStep(1, Cores, LongMs));
      fleet.advance(20);
      fleet.hold(CallKind::Start, 100);
      fleet.restart();
      fleet.advance(100);
      fleet.meet(fate, 3 * LongMs);
      const jobs::TaskRef task{jobs::JobId(jobId(2)), 0, 0, 0};
      int64_t waited = 0;
      const auto runs_elsewhere = [&] {
        for (const auto &vm : fleet.VmIds)
          if (vm != fleet.Chosen && fleet.endpointOf(vm).Runs.contains(task))
            return true;
        return false;
      };
      for (; waited < 2 * LongMs && !runs_elsewhere(); ++waited)
        fleet.advance(1);
      CHECK(waited <
            LongestCallMs + LongestLeaseMs + (lasts ? ShortMs : LongestHoldMs));
      fleet.checkViolations();
    }
}

// As above: the incarnation that may hold the call has been read since.
TEST_CASE("a task starts once the incarnation that holds calls is read") {
  HeldFleet fleet;
  fleet.OrderQueueMs = 50;
  fleet.submitAsync(jobId(2), oneStep(1, Cores, LongMs));
  fleet.advance(20);
  fleet.hold(CallKind::Start, 5 * Second);
  fleet.restart();
  int64_t waited = 0;
  while (fleet.running() < 2 && waited < LongMs) {
    fleet.advance(1);
    ++waited;
  }
  CHECK(waited < 3 * Second);
  fleet.advance(2 * LongMs);
  fleet.checkViolations();
  CHECK(fleet.stateOf(jobId(2)) == JobState::Completed);
}
