#include "almondgate/placer/placer_core.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace almondgate;
using namespace almondgate::placer;
using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::PoolId;
using core::ProcessId;
using core::RequestId;
using core::Result;
using core::TeamId;
using core::VmId;
using model::RunEnd;
using model::WorkClass;

namespace {

const PoolId Pool("p");

/// A PlacerCore whose world is played by the test.
struct Bench {
  core::TimeMs Now{100000};
  model::View View;
  std::vector<model::ProcessInfo> Processes;
  struct Question {
    model::InventoryRequest Request;
    PlacerHooks::OnInventory Done;
  };
  std::deque<Question> Questions;
  std::vector<state::Change> Changes;
  int DemandTold = 0;
  std::map<std::string, Result<model::Grant>> Grants;
  PlacerCore Core;

  explicit Bench(int vms = 2, int64_t slots = 2, int64_t portion = 100)
      : Core({.Self = ProcessId("me")}, hooks()) {
    put(model::Pool{Pool});
    for (const char *team : {"a", "b"}) {
      put(model::Team{TeamId(team), 1, 1000});
      put(model::Portion{TeamId(team), Pool, portion});
    }
    for (int i = 0; i < vms; ++i) {
      model::Vm vm;
      vm.Id = vmId(i);
      vm.Pool = Pool;
      vm.Capacity = {slots, 64000, 1 << 20, 0};
      put(vm);
    }
  }

  static VmId vmId(int i) { return VmId("v" + std::to_string(i)); }

  void put(const model::Record &record) {
    View.apply({View.Revision + 1, false, record});
  }

  PlacerHooks hooks() {
    PlacerHooks out;
    out.Now = [this] { return Now; };
    out.RequestInventory = [this](const auto &, const auto &request,
                                  auto done) {
      Questions.push_back({request, done});
    };
    out.Propose = [this](const auto &change) { Changes.push_back(change); };
    out.DemandChanged = [this] { ++DemandTold; };
    out.Log = [](const std::string &) {};
    return out;
  }

  void confirm() { Core.setView(View, Now, Processes); }

  void own(uint64_t epoch = 1) {
    put(model::PoolOwner{Pool, ProcessId("me"), {"127.0.0.1", 1}, epoch});
    confirm();
  }

  void report(int vm, std::vector<model::RunningRequest> running = {}) {
    model::Announcement out;
    out.Vm = vmId(vm);
    out.BootId = "b";
    out.Running = std::move(running);
    (void)Core.report(out);
  }

  void reportAll() {
    for (int i = 0; View.Vms.contains(vmId(i)); ++i)
      report(i);
  }

  void ask(const std::string &id, const char *team = "a",
           WorkClass work_class = WorkClass::Batch, bool idempotent = true) {
    model::GrantRequest request;
    request.Id = RequestId(id);
    request.Pool = Pool;
    request.Team = TeamId(team);
    request.Class = work_class;
    request.Need = {1, 100, 10, 0};
    request.WaitMs = 30000;
    request.Idempotent = idempotent;
    Core.grant(request,
               [this, id](const auto &grant) { Grants.emplace(id, grant); });
  }

  bool granted(const std::string &id) const {
    const auto it = Grants.find(id);
    return it != Grants.end() && it->second;
  }

  void release(const std::string &id, RunEnd end = RunEnd::Succeeded) {
    (void)Core.release({RequestId(id), Pool, end, 10});
  }

  // Lets time pass with heartbeats and reports.
  void live(int64_t ms) {
    for (int64_t i = 0; i < ms; i += 100) {
      Now = Now + DurationMs{100};
      confirm();
      reportAll();
      Core.tick();
    }
  }
};

Error errorOf(const Bench &bench, const std::string &id) {
  const auto it = bench.Grants.find(id);
  REQUIRE(it != bench.Grants.end());
  REQUIRE(!it->second);
  return it->second.error();
}

} // namespace

TEST_CASE("only the owner grants, and only while its lease lasts") {
  Bench bench;
  bench.confirm();
  bench.ask("early");
  CHECK(errorOf(bench, "early").Code == ErrorCode::NotLeader);
  bench.own();
  bench.reportAll();
  bench.ask("in time");
  CHECK(bench.granted("in time"));
  // Frozen, and awake again with its old view.
  bench.Now = bench.Now + DurationMs{3001};
  bench.reportAll();
  bench.ask("late");
  CHECK(errorOf(bench, "late").Code == ErrorCode::NotLeader);
}

TEST_CASE("what waits is not granted after the lease has lapsed") {
  Bench bench(1, 1);
  bench.own();
  bench.reportAll();
  bench.ask("runs");
  bench.ask("waits");
  bench.Now = bench.Now + DurationMs{3001};
  bench.release("runs");
  bench.Core.tick();
  CHECK(!bench.granted("waits"));
}

TEST_CASE("a new owner asks every live entry before its first grant") {
  Bench bench(1, 2);
  for (const char *entry : {"e1", "e2"})
    bench.Processes.push_back(
        {ProcessId(entry), model::Role::Entry, {"127.0.0.1", 9}, {}});
  bench.own(7);
  REQUIRE(bench.Questions.size() == 2);
  CHECK(bench.Questions[0].Request.Epoch == 7);
  bench.reportAll();
  bench.ask("x");
  CHECK(errorOf(bench, "x").Code == ErrorCode::NotLeader);
  model::Inventory one{ProcessId("e1"), Pool, {}};
  one.Items.push_back(
      {RequestId("old"), TeamId("a"), {}, Bench::vmId(0), {1, 100, 10, 0}});
  bench.Questions[0].Done(one);
  bench.ask("y");
  CHECK(!bench.granted("y"));
  // The second entry does not answer, and is then gone from the list.
  bench.Questions[1].Done(Error{ErrorCode::Unavailable, "gone"});
  bench.Core.tick();
  CHECK(bench.Questions.size() == 3);
  bench.Processes.pop_back();
  bench.confirm();
  bench.ask("z");
  CHECK(bench.granted("z"));
  // The adopted run holds its slot.
  bench.ask("full");
  CHECK(!bench.granted("full"));
  bench.release("old");
  CHECK(bench.granted("full"));
}

TEST_CASE("a VM takes work only after a report of its own to the new owner") {
  Bench bench(1, 2);
  bench.own();
  bench.ask("x");
  CHECK(!bench.granted("x"));
  // What a dead entry left running is in the report.
  bench.report(0, {{RequestId("orphan"), TeamId("a")}});
  CHECK(bench.granted("x"));
  bench.ask("y");
  CHECK(!bench.granted("y"));
  bench.report(0);
  CHECK(bench.granted("y"));
}

TEST_CASE("no team runs more than its pool's portion, orphans included") {
  Bench bench(2, 8, 2);
  bench.own();
  bench.report(0, {{RequestId("orphan"), TeamId("a")}});
  bench.report(1);
  bench.ask("1");
  bench.ask("2");
  CHECK(bench.granted("1"));
  CHECK(!bench.granted("2"));
  CHECK(bench.DemandTold == 1);
  bench.put(model::Portion{TeamId("a"), Pool, 3});
  bench.confirm();
  CHECK(bench.granted("2"));
}

TEST_CASE("a lowered portion cuts nothing and starts nothing") {
  Bench bench(2, 8, 4);
  bench.own();
  bench.reportAll();
  for (const char *id : {"1", "2", "3", "4", "5"})
    bench.ask(id);
  bench.put(model::Portion{TeamId("a"), Pool, 2});
  bench.confirm();
  bench.release("1");
  bench.release("2");
  CHECK(!bench.granted("5"));
  bench.release("3");
  CHECK(bench.granted("5"));
}

TEST_CASE("a portion is given back only down to what runs") {
  Bench bench(2, 8, 10);
  bench.own();
  bench.reportAll();
  for (const char *id : {"1", "2", "3"})
    bench.ask(id);
  bench.Core.returnPortions({{TeamId("a"), Pool, 1}});
  REQUIRE(bench.Changes.size() == 1);
  const auto &set = std::get<state::SetPortion>(bench.Changes[0].What);
  CHECK(set.From == 10);
  CHECK(set.To == 3);
  // Until the view follows, the owner already keeps to the smaller one.
  bench.ask("4");
  CHECK(!bench.granted("4"));
}

TEST_CASE("when full, slots go by weighted share") {
  Bench bench(10, 8, 1000);
  bench.put(model::Team{TeamId("a"), 3, 1000});
  bench.own();
  bench.reportAll();
  for (int i = 0; i < 200; ++i) {
    bench.ask("a" + std::to_string(i), "a");
    bench.ask("b" + std::to_string(i), "b");
  }
  // Each release hands one slot on.
  int next_a = 0;
  int next_b = 0;
  for (int i = 0; i < 200; ++i) {
    if (i % 2 == 0)
      bench.release("a" + std::to_string(next_a++));
    else
      bench.release("b" + std::to_string(next_b++));
  }
  const auto demands = bench.Core.demands();
  REQUIRE(demands.size() == 2);
  CHECK(demands[0].Running == 60);
  CHECK(demands[1].Running == 20);
}

TEST_CASE("urgent work of a team goes before its batch work") {
  Bench bench(1, 1);
  bench.own();
  bench.reportAll();
  bench.ask("runs");
  bench.ask("batch", "a", WorkClass::Batch);
  bench.ask("urgent", "a", WorkClass::Urgent);
  bench.release("runs");
  CHECK(bench.granted("urgent"));
  CHECK(!bench.granted("batch"));
}

TEST_CASE("a VM that may not take work") {
  struct Case {
    const char *Name;
    std::function<void(Bench &)> Do;
  };
  const std::vector<Case> cases = {
      {"draining",
       [](Bench &b) {
         auto vm = *model::find(b.View.Vms, Bench::vmId(0));
         vm.Phase = model::VmPhase::Draining;
         b.put(vm);
         b.confirm();
       }},
      {"leaving by its own word",
       [](Bench &b) {
         model::Announcement a;
         a.Vm = Bench::vmId(0);
         a.Leaving = true;
         (void)b.Core.report(a);
       }},
      {"moved to another pool",
       [](Bench &b) {
         auto vm = *model::find(b.View.Vms, Bench::vmId(0));
         vm.Pool = PoolId("other");
         b.put(vm);
         b.confirm();
       }},
      {"moved, and the owner it left may not know",
       [](Bench &b) {
         auto vm = *model::find(b.View.Vms, Bench::vmId(0));
         vm.MovedAt = 5;
         b.put(vm);
         b.confirm();
       }},
      {"silent",
       [](Bench &b) {
         b.Now = b.Now + DurationMs{4001};
         b.confirm();
       }},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Bench bench(1, 2);
    bench.own();
    bench.reportAll();
    c.Do(bench);
    bench.ask("x");
    CHECK(!bench.granted("x"));
  }
}

TEST_CASE("a worker that fails everything is ejected, probed and taken back") {
  Bench bench(4, 8);
  bench.own();
  bench.reportAll();
  int on_bad = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    bench.ask(id);
    REQUIRE(bench.granted(id));
    const bool bad = bench.Grants.at(id).value().Vm == Bench::vmId(0);
    on_bad += bad ? 1 : 0;
    bench.release(id, bad ? RunEnd::Failed : RunEnd::Succeeded);
    bench.live(100);
  }
  // 20 s with probes after 2, 4 and 8 s: the rest of its share would be 50.
  CHECK(on_bad <= 8);
  // Recovered, it comes back by a probe of idempotent work.
  bench.live(31000);
  bench.ask("post", "a", WorkClass::Batch, false);
  CHECK(bench.Grants.at("post").value().Vm != Bench::vmId(0));
  bool back = false;
  for (int i = 0; i < 20 && !back; ++i) {
    const std::string id = "again" + std::to_string(i);
    bench.ask(id);
    back = bench.Grants.at(id).value().Vm == Bench::vmId(0);
    bench.release(id);
  }
  CHECK(back);
}

TEST_CASE("when the whole pool fails nobody is ejected") {
  Bench bench(4, 8);
  bench.own();
  bench.reportAll();
  for (int i = 0; i < 100; ++i) {
    const std::string id = std::to_string(i);
    bench.ask(id);
    REQUIRE(bench.granted(id));
    bench.release(id, RunEnd::Failed);
  }
  for (const auto &vm : bench.Core.vmStatuses())
    CHECK(vm.Healthy);
}

TEST_CASE("a request withdrawn before it arrives is not granted") {
  Bench bench;
  bench.own();
  bench.reportAll();
  bench.release("x", RunEnd::Unused);
  bench.ask("x");
  CHECK(errorOf(bench, "x").Code == ErrorCode::Cancelled);
}

TEST_CASE("queues are bounded and waits end") {
  Bench bench(1, 1);
  model::FleetDefaults defaults;
  defaults.MaxWaiting = 3;
  bench.put(defaults);
  bench.own();
  bench.reportAll();
  for (int i = 0; i < 5; ++i)
    bench.ask(std::to_string(i));
  CHECK(errorOf(bench, "4").Code == ErrorCode::Overloaded);
  bench.live(30100);
  CHECK(errorOf(bench, "1").Code == ErrorCode::NoCapacity);
}

TEST_CASE("a stopping placer sends what waits to the next owner") {
  Bench bench(1, 1);
  bench.own();
  bench.reportAll();
  bench.ask("runs");
  bench.ask("waits");
  bench.Core.stop();
  CHECK(errorOf(bench, "waits").Code == ErrorCode::NotLeader);
  bench.ask("late");
  CHECK(errorOf(bench, "late").Code == ErrorCode::NotLeader);
}
