#include "almondgate/state/state.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::state;
using core::ErrorCode;
using core::PoolId;
using core::TeamId;
using core::VmId;
using model::StepPhase;

namespace {

const TeamId TeamA("a");
const PoolId Pool1("p1");
const PoolId Pool2("p2");

ApplyResult apply(State &state, Command command) {
  return applyChange(state, {.What = std::move(command)}, "");
}

bool accepted(State &state, Command command) {
  return apply(state, std::move(command)).Result.Accepted;
}

ErrorCode refusal(State &state, Command command) {
  const State before = state;
  const auto applied = apply(state, std::move(command));
  CHECK(!applied.Result.Accepted);
  // A refused command leaves nothing half applied.
  CHECK(state == before);
  return applied.Result.Refusal.Code;
}

State withTeam(int64_t limit) {
  State state;
  REQUIRE(accepted(state, PutRecords{{model::Pool{Pool1}, model::Pool{Pool2},
                                      model::Team{TeamA, 1, limit}}}));
  return state;
}

model::Announcement announcement(const std::string &vm,
                                 const std::string &boot = "b1") {
  model::Announcement out;
  out.Vm = VmId(vm);
  out.Endpoint = {"127.0.0.1", 8080};
  out.Rack = core::RackId("r1");
  out.BootId = boot;
  out.Capacity = {8, 64000, 1024, 0};
  return out;
}

State withVms(int n) {
  State state = withTeam(100);
  for (int i = 0; i < n; ++i) {
    const std::string vm = "v" + std::to_string(i);
    REQUIRE(accepted(state, RegisterVm{announcement(vm)}));
    REQUIRE(accepted(state, MoveVm{VmId(vm), PoolId(), Pool1}));
  }
  return state;
}

Change operatorChange(const char *who, uint64_t number, Command command,
                      uint64_t expected = 0) {
  Change change;
  change.Operator = core::OperatorId(who);
  change.Number = number;
  change.ExpectedRevision = expected;
  change.What = std::move(command);
  return change;
}

Command putTeam(const char *name) {
  return PutRecords{{model::Team{TeamId(name), 1, 5}}};
}

} // namespace

TEST_CASE("a put is whole or not at all") {
  State state;
  CHECK(refusal(state, PutRecords{{model::Team{TeamA, 1, 5},
                                   model::Queue{core::QueueId("q"),
                                                PoolId("none"), TeamA}}}) ==
        ErrorCode::NotFound);
}

TEST_CASE("bad records are refused") {
  State state = withVms(1);
  const std::vector<Command> cases = {
      PutRecords{{model::Team{TeamId(""), 1, 5}}},
      PutRecords{{model::Team{TeamId("x y"), 1, 5}}},
      PutRecords{{model::Team{TeamA, 0, 5}}},
      PutRecords{{model::Team{TeamA, 1, -1}}},
      PutRecords{{model::FleetDefaults{101, 1, 1, 1}}},
      PutRecords{{model::PoolException{Pool1, model::DefaultField::MaxWaiting,
                                       5, ""}}},
      PutRecords{{model::Portion{TeamA, Pool1, 3}}},
      GrantKey{{core::KeyHash("short"), TeamA}},
      RemoveRecord{model::Team{TeamId("none")}},
      WithdrawKey{core::KeyHash("none")},
      SetVmPhase{VmId("v0"), model::VmPhase::Released},
  };
  for (const auto &command : cases) {
    CAPTURE(kindName(command));
    refusal(state, command);
  }
}

TEST_CASE("a VM is in one pool, and one of two racing moves wins") {
  State state = withVms(1);
  CHECK(accepted(state, MoveVm{VmId("v0"), Pool1, Pool2}));
  CHECK(refusal(state, MoveVm{VmId("v0"), Pool1, PoolId()}) ==
        ErrorCode::Conflict);
  const auto *vm = model::find(state.View.Vms, VmId("v0"));
  CHECK(vm->Pool == Pool2);
  const uint64_t moved = vm->MovedAt;
  CHECK(moved == state.View.Revision);
  CHECK(refusal(state, CompleteVmMove{VmId("v0"), moved - 1}) ==
        ErrorCode::Conflict);
  // A move by way of no pool does not settle it.
  CHECK(accepted(state, MoveVm{VmId("v0"), Pool2, PoolId()}));
  CHECK(accepted(state, MoveVm{VmId("v0"), PoolId(), Pool2}));
  const uint64_t again = model::find(state.View.Vms, VmId("v0"))->MovedAt;
  CHECK(again > moved);
  CHECK(accepted(state, CompleteVmMove{VmId("v0"), again}));
  CHECK(model::find(state.View.Vms, VmId("v0"))->MovedAt == 0);
}

TEST_CASE("portions never add up to more than the limit") {
  State state = withTeam(10);
  CHECK(accepted(state, SetPortion{TeamA, Pool1, 0, 7}));
  CHECK(refusal(state, SetPortion{TeamA, Pool2, 0, 4}) == ErrorCode::Conflict);
  CHECK(accepted(state, SetPortion{TeamA, Pool2, 0, 3}));
  CHECK(refusal(state, SetPortion{TeamA, Pool2, 2, 1}) == ErrorCode::Conflict);
  // A lowered limit cuts the portions in the same command.
  CHECK(accepted(state, PutRecords{{model::Team{TeamA, 1, 4}}}));
  CHECK(model::portionSum(state.View, TeamA) <= 4);
  CHECK(model::find(state.View.Teams, TeamA)->ShrunkAt == state.View.Revision);
}

TEST_CASE("a resend gets the first answer, other content conflicts") {
  State state;
  const auto change = operatorChange("ann", 1, putTeam("x"));
  const auto first = applyChange(state, change, "d1");
  CHECK(first.Result.Accepted);
  const State after = state;
  const auto again = applyChange(state, change, "d1");
  CHECK(again.Result == first.Result);
  CHECK(again.Updates.empty());
  CHECK(state == after);
  const auto other =
      applyChange(state, operatorChange("ann", 1, putTeam("y")), "d2");
  CHECK(other.Result.Refusal.Code == ErrorCode::Conflict);
  // Another operator may use the same number.
  CHECK(applyChange(state, operatorChange("bob", 1, putTeam("y")), "d3")
            .Result.Accepted);
}

TEST_CASE("a refusal is the first answer too") {
  State state;
  const auto bad =
      operatorChange("ann", 7, RemoveRecord{model::Team{TeamId("x")}});
  const auto first = applyChange(state, bad, "d");
  CHECK(!first.Result.Accepted);
  CHECK(applyChange(state, operatorChange("bob", 1, putTeam("x")), "e")
            .Result.Accepted);
  CHECK(applyChange(state, bad, "d").Result == first.Result);
}

TEST_CASE("of two changes that expect one revision exactly one wins") {
  State state;
  CHECK(applyChange(state, operatorChange("ann", 1, putTeam("x")), "1")
            .Result.Accepted);
  const uint64_t read = state.View.Revision;
  // The system's own changes in between do not count.
  CHECK(accepted(state, RegisterVm{announcement("v")}));
  CHECK(applyChange(state, operatorChange("ann", 2, putTeam("y"), read), "2")
            .Result.Accepted);
  const auto lost =
      applyChange(state, operatorChange("bob", 1, putTeam("z"), read), "3");
  CHECK(lost.Result.Refusal.Code == ErrorCode::Conflict);
  CHECK(state.Audit.size() == 3);
}

TEST_CASE("a wave keeps the availability budget") {
  State state = withVms(10);
  model::Wave wave;
  wave.Id = core::WaveId("w");
  wave.Kind = model::WaveKind::Reboot;
  REQUIRE(accepted(state, CreateWave{wave}));
  const auto step = [](const char *vm, StepPhase from, StepPhase to) {
    return AdvanceWave{core::WaveId("w"), VmId(vm), from, to};
  };
  CHECK(accepted(state, step("v0", StepPhase::Waiting, StepPhase::Draining)));
  CHECK(accepted(state, step("v1", StepPhase::Waiting, StepPhase::Draining)));
  CHECK(refusal(state, step("v2", StepPhase::Waiting, StepPhase::Draining)) ==
        ErrorCode::Conflict);
  // A step is taken once, whoever leads.
  CHECK(refusal(state, step("v0", StepPhase::Waiting, StepPhase::Draining)) ==
        ErrorCode::Conflict);
  CHECK(refusal(state, step("v0", StepPhase::Draining, StepPhase::Done)) ==
        ErrorCode::Conflict);
  CHECK(accepted(state, step("v0", StepPhase::Draining, StepPhase::Released)));
  CHECK(accepted(state, step("v0", StepPhase::Released, StepPhase::Done)));
  CHECK(model::find(state.View.Vms, VmId("v0"))->Phase ==
        model::VmPhase::Active);
  CHECK(accepted(state, step("v2", StepPhase::Waiting, StepPhase::Draining)));
}

TEST_CASE("a VM is in one open wave") {
  State state = withVms(2);
  model::Wave wave;
  wave.Id = core::WaveId("w");
  REQUIRE(accepted(state, CreateWave{wave}));
  wave.Id = core::WaveId("x");
  CHECK(refusal(state, CreateWave{wave}) == ErrorCode::Conflict);
}

TEST_CASE("a non-idempotent request is begun once") {
  State state;
  const BeginIntent begin{TeamA, "k", "digest", core::RequestId("r1")};
  CHECK(accepted(state, begin));
  // The same proposal may be applied twice by a resend inside the system.
  CHECK(accepted(state, begin));
  BeginIntent second = begin;
  second.Request = core::RequestId("r2");
  CHECK(refusal(state, second) == ErrorCode::Conflict);
  CHECK(accepted(state, FinishIntent{TeamA, "k", core::RequestId("r1"), 200}));
  CHECK(refusal(state, second) == ErrorCode::Conflict);
  CHECK(refusal(state, begin) == ErrorCode::Conflict);
  CHECK(accepted(state, ExpireIntents{1}));
  CHECK(accepted(state, second));
  // What did not run may be tried again.
  CHECK(accepted(state, FinishIntent{TeamA, "k", core::RequestId("r2"), 0}));
  CHECK(accepted(state, begin));
}

TEST_CASE("pool epochs only grow") {
  State state = withTeam(1);
  const core::Address at{"127.0.0.1", 1};
  CHECK(accepted(state, AssignPool{Pool1, core::ProcessId("x"), at, 0}));
  CHECK(refusal(state, AssignPool{Pool1, core::ProcessId("y"), at, 0}) ==
        ErrorCode::Conflict);
  CHECK(accepted(state, AssignPool{Pool1, core::ProcessId("y"), at, 1}));
  CHECK(model::find(state.View.Owners, Pool1)->Epoch == 2);
}
