#include "almondgate/control/control_core.hpp"
#include "almondgate/encoding/codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <optional>

using namespace almondgate;
using namespace almondgate::control;
using consensus::MemberId;
using core::DurationMs;
using core::PoolId;
using core::ProcessId;
using core::Result;
using core::TeamId;

namespace {

/// Control members in virtual time, connected by a network without faults.
class ControlFixture {
public:
  explicit ControlFixture(int members = 3, ControlOptions options = {},
                          consensus::NodeOptions node_options = {}) {
    consensus::Membership first;
    for (int i = 0; i < members; ++i)
      first.Members.push_back(
          {MemberId("m" + std::to_string(i)), {"127.0.0.1", 1}, true});
    consensus::DurableState recovered;
    recovered.Base.Voters = first;
    for (const auto &member : first.Members) {
      const MemberId id = member.Id;
      node_options.Self = id;
      Cores[id] = std::make_unique<ControlCore>(options, node_options,
                                                hooks(id), recovered);
    }
    run(3000);
    REQUIRE(leader());
  }

  void run(int64_t ms) {
    for (int64_t i = 0; i < ms; i += 5) {
      Now = Now + DurationMs{5};
      deliver();
      for (auto &[id, core] : Cores)
        if (id != Isolated)
          core->tick();
      deliver();
    }
  }

  ControlCore *leader() {
    for (auto &[id, core] : Cores)
      if (id != Isolated && core->isLeader())
        return core.get();
    return nullptr;
  }

  void isolate(const MemberId &id) { Isolated = id; }

  /// Starts a member with an empty disk, which has no membership yet.
  void addJoiner(const MemberId &id, const ControlOptions &options) {
    Cores[id] = std::make_unique<ControlCore>(
        options, consensus::NodeOptions{.Self = id}, hooks(id),
        consensus::DurableState{});
  }

  int64_t countLogLines(const std::string &part) const {
    return std::count_if(
        LogLines.begin(), LogLines.end(),
        [&](const auto &line) { return line.find(part) != std::string::npos; });
  }

  Result<state::ChangeResult> propose(const state::Change &change) {
    std::optional<Result<state::ChangeResult>> out;
    leader()->propose(change, [&](const auto &r) { out = r; });
    run(100);
    REQUIRE(out);
    return *out;
  }

  Result<state::ChangeResult> propose(const state::Command &command) {
    state::Change change;
    change.What = command;
    return propose(change);
  }

  model::WatchRequest heartbeat(const char *id, model::Role role) const {
    model::WatchRequest out;
    out.From = {ProcessId(id), role, {"127.0.0.1", 7}, {}};
    return out;
  }

  // Sends a watch every 200 ms, as a process does, for `ms` milliseconds.
  void sendHeartbeats(const model::WatchRequest &request, int64_t ms) {
    for (int64_t i = 0; i < ms; i += 200) {
      auto *current = leader();
      if (current) {
        auto next = request;
        next.Revision = current->state().View.Revision;
        current->watch(next, [](const auto &) {});
      }
      run(200);
    }
  }

  const model::View &view() { return leader()->state().View; }

  core::TimeMs Now{100000};
  std::vector<std::string> LogLines;
  /// How often each member's job ledger was replaced by a snapshot.
  std::map<MemberId, int64_t> JobsReplaced;
  std::map<MemberId, std::unique_ptr<ControlCore>> Cores;

private:
  ControlHooks hooks(const MemberId &id) {
    ControlHooks out;
    out.OnJobsReplaced = [this, id] { ++JobsReplaced[id]; };
    out.Node.Now = [this] { return Now; };
    out.Node.Random = [this](int64_t limit) {
      return RandomCounter++ * 37 % limit;
    };
    out.Node.EncodeMembership = encoding::encode<consensus::Membership>;
    out.Node.DecodeMembership = [](const std::string &bytes) {
      return encoding::decode<consensus::Membership>(bytes).value();
    };
    out.WallClock = [this] { return Now.Count; };
    out.Send = [this](const consensus::Message &message) {
      Network.push_back(message);
    };
    out.Persist = [this, id](const auto &) { PendingWrites.push_back(id); };
    out.EncodeChange = encoding::encode<state::Change>;
    out.DecodeChange = [](const std::string &bytes) {
      return encoding::decode<state::Change>(bytes);
    };
    out.EncodeState = encoding::encode<state::State>;
    out.DecodeState = [](const std::string &bytes) {
      return encoding::decode<state::State>(bytes);
    };
    out.Log = [this](const std::string &line) { LogLines.push_back(line); };
    return out;
  }

  void deliver() {
    while (!Network.empty() || !PendingWrites.empty()) {
      while (!PendingWrites.empty()) {
        const MemberId id = PendingWrites.front();
        PendingWrites.pop_front();
        Cores.at(id)->onPersisted();
      }
      if (Network.empty())
        continue;
      const auto message = Network.front();
      Network.pop_front();
      if (message.From != Isolated && message.To != Isolated)
        Cores.at(message.To)->receive(message);
    }
  }

  std::deque<consensus::Message> Network;
  std::deque<MemberId> PendingWrites;
  MemberId Isolated;
  int64_t RandomCounter = 0;
};

state::Command poolAndTeam() {
  return state::PutRecords{{model::Pool{PoolId("p")}, model::Pool{PoolId("q")},
                            model::Team{TeamId("t"), 1, 10}}};
}

model::Demand demand(const char *pool, int64_t running, int64_t waiting) {
  return {PoolId(pool), TeamId("t"), running, waiting};
}

int64_t portionOf(const model::View &view, const char *pool) {
  const auto *found =
      model::find(view.Portions, std::pair(TeamId("t"), PoolId(pool)));
  return found ? found->Amount : 0;
}

} // namespace

TEST_CASE("a change gives the same state on every member") {
  ControlFixture fixture;
  CHECK(fixture.propose(poolAndTeam()).value().Accepted);
  fixture.run(500);
  const auto &first = fixture.Cores.begin()->second->state();
  for (const auto &[id, core] : fixture.Cores)
    CHECK(core->state() == first);
}

TEST_CASE("an isolated leader confirms nothing and is replaced") {
  ControlFixture fixture;
  ControlCore *old = fixture.leader();
  fixture.isolate(old->node().self());
  fixture.run(2500);
  REQUIRE(fixture.leader());
  CHECK(fixture.leader() != old);
  std::optional<Result<model::WatchReply>> reply;
  old->watch(fixture.heartbeat("e", model::Role::Entry),
             [&](const auto &r) { reply = r; });
  fixture.run(10);
  // If it replies, the reply states how old its last confirmation is.
  if (reply && *reply)
    CHECK(reply->value().ConfirmedAgeMs >= 2000);
  std::optional<Result<state::ChangeResult>> change;
  old->propose({}, [&](const auto &r) { change = r; });
  fixture.run(2000);
  CHECK((!change || !*change));
}

TEST_CASE("a watch receives a snapshot, then each delta without delay") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  std::optional<Result<model::WatchReply>> first;
  auto request = fixture.heartbeat("e", model::Role::Entry);
  fixture.leader()->watch(request, [&](const auto &r) { first = r; });
  REQUIRE(first);
  CHECK(first->value().Snapshot);
  request.Revision = first->value().Revision;
  std::optional<Result<model::WatchReply>> second;
  fixture.leader()->watch(request, [&](const auto &r) { second = r; });
  CHECK(!second);
  (void)fixture.propose(state::PutRecords{{model::Pool{PoolId("r")}}});
  REQUIRE(second);
  CHECK(!second->value().Snapshot);
  CHECK(second->value().Updates.size() == 1);
  CHECK(second->value().ConfirmedAgeMs < 500);
}

TEST_CASE("an idle watch is answered within its timeout") {
  ControlFixture fixture;
  std::optional<Result<model::WatchReply>> reply;
  auto request = fixture.heartbeat("e", model::Role::Entry);
  request.Revision = fixture.view().Revision;
  if (request.Revision == 0) {
    (void)fixture.propose(poolAndTeam());
    request.Revision = fixture.view().Revision;
  }
  fixture.leader()->watch(request, [&](const auto &r) { reply = r; });
  fixture.run(450);
  CHECK(reply);
}

TEST_CASE(
    "pools are assigned to live placers, and reassigned after the lease") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  fixture.sendHeartbeats(fixture.heartbeat("a", model::Role::Placer), 400);
  REQUIRE(fixture.view().Owners.size() == 2);
  CHECK(model::find(fixture.view().Owners, PoolId("p"))->Owner ==
        ProcessId("a"));
  // The first placer sends no heartbeats; its pools stay until its lease ends.
  const auto other = fixture.heartbeat("b", model::Role::Placer);
  fixture.sendHeartbeats(other, 2600);
  CHECK(model::find(fixture.view().Owners, PoolId("p"))->Owner ==
        ProcessId("a"));
  fixture.sendHeartbeats(other, 1400);
  const auto *owner = model::find(fixture.view().Owners, PoolId("p"));
  CHECK(owner->Owner == ProcessId("b"));
  CHECK(owner->Epoch == 2);
}

TEST_CASE("a new leader reassigns no pool before a full lease has passed") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  fixture.sendHeartbeats(fixture.heartbeat("a", model::Role::Placer), 400);
  fixture.sendHeartbeats(fixture.heartbeat("b", model::Role::Placer), 200);
  ControlCore *old = fixture.leader();
  fixture.isolate(old->node().self());
  fixture.run(2500);
  REQUIRE(fixture.leader() != old);
  // Only "b" has reached the new leader; "a" may still be looking for it.
  fixture.sendHeartbeats(fixture.heartbeat("b", model::Role::Placer), 600);
  CHECK(model::find(fixture.view().Owners, PoolId("p"))->Owner ==
        ProcessId("a"));
}

TEST_CASE("the pools of a stopping placer are reassigned without delay") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  fixture.sendHeartbeats(fixture.heartbeat("a", model::Role::Placer), 400);
  fixture.sendHeartbeats(fixture.heartbeat("b", model::Role::Placer), 200);
  auto stopping = fixture.heartbeat("a", model::Role::Placer);
  stopping.Stopping = true;
  fixture.leader()->watch(stopping, [](const auto &) {});
  fixture.run(100);
  for (const auto &[pool, owner] : fixture.view().Owners)
    CHECK(owner->Owner == ProcessId("b"));
}

TEST_CASE("portions follow demand, and the excess is requested back from the "
          "owners") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  auto placer = fixture.heartbeat("a", model::Role::Placer);
  placer.Demands = {demand("p", 0, 30)};
  fixture.sendHeartbeats(placer, 800);
  CHECK(portionOf(fixture.view(), "p") == 10);
  fixture.run(500);
  // Another pool needs half, so the owner is requested to return it.
  placer.Demands = {demand("p", 10, 20), demand("q", 0, 30)};
  std::vector<model::Portion> returns;
  placer.Revision = fixture.view().Revision;
  fixture.leader()->watch(placer, [&](const auto &r) {
    if (r)
      returns = r.value().Returns;
  });
  fixture.run(500);
  REQUIRE(returns.size() == 1);
  CHECK(returns[0] == model::Portion{TeamId("t"), PoolId("p"), 5});
  CHECK(portionOf(fixture.view(), "q") == 0);
  (void)fixture.propose(state::SetPortion{TeamId("t"), PoolId("p"), 10, 5});
  placer.Demands = {demand("p", 5, 20), demand("q", 0, 30)};
  fixture.sendHeartbeats(placer, 400);
  CHECK(portionOf(fixture.view(), "q") == 5);
}

TEST_CASE("no portion grows before every placer has applied a lowered limit") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  auto placer = fixture.heartbeat("a", model::Role::Placer);
  placer.Demands = {demand("p", 0, 30)};
  fixture.sendHeartbeats(placer, 800);
  const uint64_t before = fixture.view().Revision;
  (void)fixture.propose(state::PutRecords{{model::Team{TeamId("t"), 1, 4}}});
  (void)fixture.propose(state::PutRecords{{model::Team{TeamId("t"), 1, 10}}});
  // The placer has not applied the lower limit yet.
  placer.Revision = before;
  fixture.leader()->watch(placer, [](const auto &) {});
  fixture.run(200);
  CHECK(portionOf(fixture.view(), "p") == 4);
  fixture.sendHeartbeats(placer, 400);
  CHECK(portionOf(fixture.view(), "p") == 10);
}

TEST_CASE("a move of a VM completes once every owner has applied it") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  const core::VmId vm("v");
  (void)fixture.propose(state::MoveVm{vm, PoolId(), PoolId("p")});
  const auto one = fixture.heartbeat("a", model::Role::Placer);
  fixture.sendHeartbeats(one, 400);
  const uint64_t before = fixture.view().Revision;
  (void)fixture.propose(state::MoveVm{vm, PoolId("p"), PoolId("q")});
  auto behind = one;
  behind.Revision = before;
  fixture.leader()->watch(behind, [](const auto &) {});
  fixture.run(300);
  CHECK(model::find(fixture.view().Vms, vm)->MovedAt != 0);
  fixture.sendHeartbeats(one, 400);
  CHECK(model::find(fixture.view().Vms, vm)->MovedAt == 0);
}

TEST_CASE("a new leader grows no portion and completes no move before the "
          "owners report") {
  ControlFixture fixture;
  (void)fixture.propose(poolAndTeam());
  const core::VmId vm("v");
  (void)fixture.propose(state::MoveVm{vm, PoolId(), PoolId("p")});
  fixture.sendHeartbeats(fixture.heartbeat("a", model::Role::Placer), 400);
  (void)fixture.propose(state::MoveVm{vm, PoolId("p"), PoolId("q")});
  ControlCore *old = fixture.leader();
  fixture.isolate(old->node().self());
  fixture.run(2500);
  REQUIRE(fixture.leader() != old);
  // The owner "a" may be alive with an old view and has sent no heartbeat.
  fixture.sendHeartbeats(fixture.heartbeat("b", model::Role::Placer), 400);
  CHECK(model::find(fixture.view().Vms, vm)->MovedAt != 0);
}

TEST_CASE("a joining member becomes a learner once, and then a voter") {
  // Regression (havrehuset-sched, trouble-1): a leader that had led for long
  // measured a new learner's time without contact from the start of its own
  // leadership, so the learner counted as lost.
  ControlOptions options;
  options.Voters = 3;
  ControlFixture fixture(3, options);
  fixture.run(30000);
  const MemberId joiner("joiner");
  fixture.isolate(fixture.leader() == fixture.Cores.at(MemberId("m2")).get()
                      ? MemberId("m1")
                      : MemberId("m2"));
  fixture.addJoiner(joiner, options);
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.leader()->join({joiner, {"127.0.0.2", 1}, false}));
    fixture.run(500);
  }
  const auto *member =
      consensus::findMember(fixture.leader()->node().membership(), joiner);
  REQUIRE(member);
  CHECK(member->Voter);
  // Add the learner, make it a voter, remove the lost voter.
  CHECK(fixture.countLogLines("membership becomes") == 3);
}

TEST_CASE("120 changes are applied across snapshots every 50 entries") {
  ControlOptions options;
  options.EntriesPerSnapshot = 50;
  ControlFixture fixture(1, options);
  for (int i = 0; i < 120; ++i)
    (void)fixture.propose(
        state::PutRecords{{model::Pool{PoolId("pool" + std::to_string(i))}}});
  CHECK(fixture.view().Pools.size() == 120);
}

TEST_CASE("a member reports that a snapshot has replaced its job ledger") {
  ControlOptions options;
  options.EntriesPerSnapshot = 50;
  ControlFixture fixture(3, options, {.EntriesKeptBehindSnapshot = 5});
  const MemberId behind(fixture.Cores.at(MemberId("m0"))->isLeader() ? "m1"
                                                                     : "m0");
  fixture.isolate(behind);
  for (int i = 0; i < 120; ++i)
    (void)fixture.propose(
        state::PutRecords{{model::Pool{PoolId("pool" + std::to_string(i))}}});
  CHECK(fixture.JobsReplaced.empty());
  fixture.isolate(MemberId());
  fixture.run(5000);
  CHECK(fixture.JobsReplaced[behind] > 0);
  CHECK(fixture.JobsReplaced.size() == 1);
  CHECK(fixture.Cores.at(behind)->state().View.Pools.size() == 120);
}

// Guards against an old configuration whose log doesn't tell which one the next
// leader began with, or a restarted member restored.
TEST_CASE("the log of a new leader and of a restore names the configuration") {
  ControlOptions options;
  options.EntriesPerSnapshot = 5;
  ControlFixture fixture(3, options, {.EntriesKeptBehindSnapshot = 2});
  CHECK(fixture.countLogLines("revision 0, configuration 0") == 1);
  const MemberId behind(fixture.Cores.at(MemberId("m0"))->isLeader() ? "m1"
                                                                     : "m0");
  fixture.isolate(behind);
  for (uint64_t version = 41; version <= 60; ++version) {
    jobs::FleetConfig config;
    config.Version = version;
    (void)fixture.propose(state::RecordJobs{{jobs::ConfigReplaced{config}}});
  }
  fixture.isolate(MemberId());
  fixture.run(5000);
  CHECK(fixture.countLogLines("restored, configuration ") > 0);
  fixture.leader()->stepDown();
  fixture.run(3000);
  CHECK(fixture.countLogLines("configuration 60") > 0);
  CHECK(fixture.countLogLines("became leader in term") ==
        fixture.countLogLines("revision 0, configuration "));
}
