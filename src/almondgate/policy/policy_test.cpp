#include "almondgate/core/digest.hpp"
#include "almondgate/policy/admission.hpp"
#include "almondgate/policy/ejection.hpp"
#include "almondgate/policy/fair_share.hpp"
#include "almondgate/policy/outcome_window.hpp"
#include "almondgate/policy/portion_plan.hpp"
#include "almondgate/policy/retry_budget.hpp"
#include "almondgate/policy/urgent_headroom.hpp"
#include "almondgate/policy/vm_choice.hpp"
#include "almondgate/policy/wave_plan.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace almondgate;
using namespace almondgate::policy;
using core::DurationMs;
using core::PoolId;
using core::TeamId;
using core::TimeMs;
using core::VmId;
using model::StepPhase;

TEST_CASE("order of teams") {
  struct Case {
    const char *Name;
    std::vector<TeamLoad> Loads;
    std::vector<TeamId> Order;
  };
  const TeamId a("a");
  const TeamId b("b");
  const std::vector<Case> cases = {
      {"smallest use relative to its share first",
       {{a, 1, 0.5, 4, 9, false, 1}, {b, 2, 0.5, 4, 9, false, 2}},
       {b, a}},
      {"a team at its limit is omitted",
       {{a, 1, 0.0, 3, 3, true, 1}, {b, 1, 0.9, 7, 9, false, 2}},
       {b}},
      {"urgent within its entitlement goes first",
       {{a, 1, 0.2, 2, 9, true, 2}, {b, 1, 0.1, 1, 9, false, 1}},
       {a, b}},
      {"urgent beyond its entitlement does not",
       {{a, 1, 0.6, 5, 9, true, 1}, {b, 1, 0.1, 1, 9, false, 2}},
       {b, a}},
      {"ties go to the oldest request",
       {{a, 1, 0.1, 1, 9, false, 7}, {b, 1, 0.1, 1, 9, false, 3}},
       {b, a}},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    CHECK(teamOrder(c.Loads) == c.Order);
  }
}

TEST_CASE("the least loaded VM is chosen") {
  const std::vector<VmLoad> vms = {
      {VmId("full"), {8, 1000, 100, 0}, {0, 500, 50, 0}, 0},
      {VmId("half"), {8, 1000, 100, 0}, {4, 500, 50, 0}, 0},
      {VmId("busy"), {8, 1000, 100, 0}, {7, 900, 10, 0}, 0},
      {VmId("other"), {8, 1000, 100, 0}, {4, 500, 50, 0}, 5},
  };
  CHECK(leastLoaded(vms, {1, 100, 10, 0}) == VmId("half"));
  CHECK(leastLoaded(vms, {6, 100, 10, 0}) == VmId("busy"));
  CHECK(!leastLoaded(vms, {8, 1, 1, 0}));
  CHECK(!leastLoaded(vms, {1, 1, 1, 1}));
}

TEST_CASE("retries are limited to 5 % of the requests after an initial burst") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget = budget.withRequest();
    while (budget.allowsRetry()) {
      budget = budget.withRetry();
      ++retries;
    }
  }
  CHECK(retries <= 61);
}

TEST_CASE("headroom follows the urgent peak and decays") {
  const TimeMs start{10000};
  UrgentHeadroom room;
  // Forty arrivals at once; with run times of 0.5 s, twenty run at a time.
  for (int i = 0; i < 40; ++i)
    room = room.withArrival(start);
  const auto load = [&](int64_t after, int64_t urgent, int64_t batch) {
    return PoolLoad{start + DurationMs{after}, urgent, DurationMs{500}, batch,
                    DurationMs{2000},          80};
  };
  CHECK(room.slots(load(0, 0, 0)) == 20);
  // Headroom covers only the rise above the running requests, or their standard
  // deviations if that is more.
  CHECK(room.slots(load(0, 4, 0)) == 16);
  CHECK(room.slots(load(0, 25, 0)) == 15);
  // Slots that batch work frees within a second are not withheld.
  CHECK(room.slots(load(0, 0, 30)) == 5);
  CHECK(room.slots(load(90000, 0, 0)) == 10);
  CHECK(room.slots(load(900000, 0, 0)) <= 1);
}

TEST_CASE("failures across the boundary of fixed windows are counted") {
  OutcomeWindow window;
  // The failures fall on both sides of the boundary of two fixed windows of ten
  // seconds.
  for (int i = 0; i < 6; ++i)
    window = window.withOutcome(TimeMs{19900}, false);
  for (int i = 0; i < 6; ++i)
    window = window.withOutcome(TimeMs{20100}, false);
  CHECK(window.failures(TimeMs{20100}) == 12);
  CHECK(window.count(TimeMs{29900}) == 6);
  CHECK(window.count(TimeMs{40000}) == 0);
}

TEST_CASE("ejection") {
  struct Case {
    const char *Name;
    EjectionStats Facts;
    bool Ejected;
  };
  const std::vector<Case> cases = {
      {"fails everything", {3, 3, 50, 0, 0, 10}, true},
      {"too few runs", {2, 2, 50, 0, 0, 10}, false},
      {"the pool fails too", {10, 10, 50, 45, 0, 10}, false},
      {"30 % are ejected already", {10, 10, 50, 0, 3, 10}, false},
      {"a small pool may lose one", {10, 10, 20, 0, 0, 2}, true},
      {"the only VM", {10, 10, 0, 0, 0, 1}, false},
      {"a few failures", {10, 4, 50, 0, 0, 10}, false},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    CHECK(mustEject(c.Facts) == c.Ejected);
  }
}

TEST_CASE("portions follow demand and never exceed the limit") {
  const PoolId p("p");
  const PoolId q("q");
  struct Case {
    const char *Name;
    int64_t Limit;
    std::vector<PoolClaim> Claims;
    std::vector<PortionChange> Grow;
    std::vector<PortionChange> Return;
  };
  const std::vector<Case> cases = {
      {"grows ahead of waiting requests", 20, {{p, 0, 0, 4}}, {{p, 0, 6}}, {}},
      {"not beyond the limit", 5, {{p, 3, 3, 9}}, {{p, 3, 5}}, {}},
      {"reclaims from the idle pool",
       10,
       {{p, 10, 2, 0}, {q, 0, 0, 3}},
       {},
       {{p, 10, 5}}},
      {"divides a short limit equally",
       10,
       {{p, 10, 10, 5}, {q, 0, 0, 50}},
       {},
       {{p, 10, 5}}},
      {"nothing to do", 10, {{p, 10, 4, 0}}, {}, {}},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    const auto plan = planPortions(c.Limit, c.Claims);
    CHECK(plan.Grow == c.Grow);
    CHECK(plan.Return == c.Return);
  }
}

TEST_CASE("no plan exceeds the limit for random claims") {
  std::mt19937_64 rng(1);
  for (int round = 0; round < 5000; ++round) {
    const auto limit = int64_t(rng() % 100);
    std::vector<PoolClaim> claims;
    int64_t left = limit;
    for (int i = 0; i < 5; ++i) {
      const int64_t portion = int64_t(rng() % uint64_t(left + 1));
      left -= portion;
      const int64_t running = int64_t(rng() % uint64_t(portion + 1));
      claims.push_back(
          {PoolId(std::to_string(i)), portion, running, int64_t(rng() % 30)});
    }
    int64_t sum = limit - left;
    for (const auto &step : planPortions(limit, claims).Grow)
      sum += step.To - step.From;
    REQUIRE(sum <= limit);
  }
}

namespace {

struct Fleet {
  model::View View;
  VmStatuses Statuses;
  model::Wave Wave;

  explicit Fleet(int vms) {
    put(model::Pool{PoolId("p")});
    Wave.Id = core::WaveId("w");
    Wave.Kind = model::WaveKind::Reboot;
    for (int i = 0; i < vms; ++i) {
      model::Vm vm;
      vm.Id = VmId(std::string("v") + char('a' + i));
      vm.Pool = PoolId("p");
      vm.Rack = core::RackId("r" + std::to_string(i / 4));
      vm.BootId = "1";
      put(vm);
      Statuses[vm.Id] = {vm.Id, 0, true};
      Wave.Steps[vm.Id] = StepPhase::Waiting;
    }
  }

  void put(const model::Record &record) { View.apply({1, false, record}); }

  model::Vm &edit(const std::string &id, model::Vm &copy) {
    copy = *model::find(View.Vms, VmId(id));
    return copy;
  }
};

} // namespace

TEST_CASE("a wave uses the remaining availability budget") {
  struct Case {
    const char *Name;
    std::function<void(Fleet &)> Prepare;
    size_t Steps;
  };
  const auto phase = [](const char *vm, model::VmPhase to) {
    return [=](Fleet &f) {
      model::Vm copy;
      f.edit(vm, copy).Phase = to;
      f.put(copy);
    };
  };
  const std::vector<Case> cases = {
      {"20 % of ten", [](Fleet &) {}, 2},
      {"one is draining for another reason",
       phase("vj", model::VmPhase::Draining), 2},
      {"one has failed",
       [](Fleet &f) { f.Statuses[VmId("vi")].Healthy = false; }, 2},
      {"the status of one is unknown",
       [](Fleet &f) { f.Statuses.erase(VmId("vi")); }, 2},
      {"paused", [](Fleet &f) { f.Wave.Status = model::WaveStatus::Paused; },
       0},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Fleet fleet(10);
    c.Prepare(fleet);
    const auto plan = planWave(fleet.View, fleet.Wave, fleet.Statuses);
    CHECK(plan.Steps.size() == c.Steps);
    // VMs that are unavailable already may drain without using the budget.
    int64_t newly_unavailable = 0;
    for (const auto &step : plan.Steps) {
      const auto *vm = model::find(fleet.View.Vms, step.Vm);
      const bool was_unavailable = vm->Phase != model::VmPhase::Active ||
                                   !fleet.Statuses.contains(step.Vm) ||
                                   !fleet.Statuses.at(step.Vm).Healthy;
      newly_unavailable += was_unavailable ? 0 : 1;
    }
    CHECK(unavailableInPool(fleet.View, PoolId("p"), fleet.Statuses) +
              newly_unavailable <=
          2);
  }
}

TEST_CASE("a VM is released only when it is reported empty") {
  Fleet fleet(10);
  fleet.Wave.Steps[VmId("va")] = StepPhase::Draining;
  const auto releases = [&] {
    const auto plan = planWave(fleet.View, fleet.Wave, fleet.Statuses);
    return std::count_if(
        plan.Steps.begin(), plan.Steps.end(),
        [](const WaveStep &s) { return s.To == StepPhase::Released; });
  };
  fleet.Statuses[VmId("va")].Running = 1;
  CHECK(releases() == 0);
  fleet.Statuses.erase(VmId("va"));
  CHECK(releases() == 0);
  fleet.Statuses[VmId("va")] = {VmId("va"), 0, true};
  CHECK(releases() == 1);
}

TEST_CASE("a rebooted VM is done when it has restarted and is healthy") {
  Fleet fleet(10);
  fleet.Wave.Steps[VmId("va")] = StepPhase::Released;
  fleet.Wave.ReleasedBoot[VmId("va")] = "1";
  const auto done = [&] {
    const auto plan = planWave(fleet.View, fleet.Wave, fleet.Statuses);
    return std::any_of(
        plan.Steps.begin(), plan.Steps.end(),
        [](const WaveStep &s) { return s.To == StepPhase::Done; });
  };
  CHECK(!done());
  model::Vm copy;
  fleet.edit("va", copy).BootId = "2";
  fleet.put(copy);
  fleet.Statuses[VmId("va")].Healthy = false;
  CHECK(!done());
  fleet.Statuses[VmId("va")].Healthy = true;
  CHECK(done());
}

TEST_CASE("a rack is finished before the next is started") {
  Fleet fleet(10);
  fleet.Wave.Steps[VmId("ve")] = StepPhase::Done;
  fleet.Wave.Steps[VmId("vf")] = StepPhase::Released;
  const auto plan = planWave(fleet.View, fleet.Wave, fleet.Statuses);
  REQUIRE(!plan.Steps.empty());
  CHECK(plan.Steps.front().Vm == VmId("vg"));
}

TEST_CASE("admission") {
  model::View view;
  const PoolId pool("p");
  view.apply({1, false, model::Pool{pool}});
  const auto hash = [](const char *key) {
    return core::KeyHash(core::sha256Hex(key));
  };
  view.apply({1, false, model::Key{hash("good"), TeamId("t")}});
  view.apply({1, false, model::Key{hash("other"), TeamId("u")}});
  model::Queue queue{core::QueueId("closed"), pool, TeamId("t")};
  view.apply({1, false, queue});
  queue.Id = core::QueueId("open");
  queue.Open = true;
  view.apply({1, false, queue});
  model::Vm vm;
  vm.Id = VmId("v");
  vm.Pool = pool;
  vm.Capacity = {8, 64000, int64_t{128} * 1024, 0};
  view.apply({1, false, vm});
  struct Case {
    const char *Queue;
    const char *Key;
    std::optional<core::ErrorCode> Refused;
  };
  const std::vector<Case> cases = {
      {"closed", "good", {}},
      {"closed", "other", core::ErrorCode::Forbidden},
      {"closed", "none", core::ErrorCode::Unauthenticated},
      {"closed", "", core::ErrorCode::Unauthenticated},
      {"open", "", {}},
      {"open", "other", {}},
      {"open", "none", core::ErrorCode::Unauthenticated},
      {"nowhere", "good", core::ErrorCode::NotFound},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Queue);
    CAPTURE(c.Key);
    const auto got = admit(view, {core::QueueId(c.Queue), c.Key, {}, {}});
    CHECK(bool(got) == !c.Refused.has_value());
    if (!got)
      CHECK(got.error().Code == *c.Refused);
  }
  const auto large =
      admit(view, {core::QueueId("open"), "", {}, core::Size{9, 0, 0, 0}});
  CHECK(large.error().Code == core::ErrorCode::NeverFits);
}
