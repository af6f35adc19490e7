#include "almondgate/state/state.hpp"

#include "view_transaction.hpp"

#include <algorithm>

namespace almondgate::state {

using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;
using model::DefaultField;
using model::View;
using model::VmPhase;

namespace {

// --- intents

Status beginIntent(State &state, const BeginIntent &command, int64_t at) {
  const State::IntentKey key(command.Team, command.Key);
  const auto it = state.Intents.find(key);
  if (it != state.Intents.end()) {
    const Intent &first = *it->second;
    if (first.Digest != command.Digest)
      return conflict("the idempotency key was already used for a request with "
                      "other content");
    if (first.Request == command.Request && first.Status == 0)
      return core::ok();
    const std::string outcome =
        first.Status == 0
            ? "its outcome is unknown"
            : "it ended with status " + std::to_string(first.Status);
    return conflict("the request was already dispatched; " + outcome);
  }
  if (state.Intents.size() >= MaxIntents)
    return Error{ErrorCode::Overloaded, "too many recorded requests, limit " +
                                            std::to_string(MaxIntents)};
  state.Intents.emplace(key, Intent{command.Digest, command.Request, at, 0});
  return core::ok();
}

Status finishIntent(State &state, const FinishIntent &command) {
  const auto it = state.Intents.find({command.Team, command.Key});
  if (it == state.Intents.end() || it->second->Request != command.Request)
    return notFound("recorded request", command.Key);
  if (command.Status == 0)
    state.Intents.erase(it);
  else
    it->second = it->second.with([&](Intent &i) { i.Status = command.Status; });
  return core::ok();
}

void expireIntents(State &state, const ExpireIntents &command) {
  std::erase_if(state.Intents, [&](const auto &row) {
    return row.second->AtWallMs < command.BeforeWallMs;
  });
}

// --- changes

Result<Updates> executeCommand(State &state, const Change &change) {
  if (const auto *begin = std::get_if<BeginIntent>(&change.What)) {
    if (auto done = beginIntent(state, *begin, change.AtWallMs); !done)
      return done.error();
    return Updates{};
  }
  if (const auto *finish = std::get_if<FinishIntent>(&change.What)) {
    if (auto done = finishIntent(state, *finish); !done)
      return done.error();
    return Updates{};
  }
  if (const auto *expire = std::get_if<ExpireIntents>(&change.What)) {
    expireIntents(state, *expire);
    return Updates{};
  }
  if (const auto *events = std::get_if<RecordJobs>(&change.What)) {
    for (const auto &event : events->Events)
      jobs::apply(state.Jobs, event);
    return Updates{};
  }
  ViewTransaction transaction(state.View);
  const Status done = std::visit(
      [&](const auto &command) -> Status {
        if constexpr (requires { execute(transaction, command); })
          return execute(transaction, command);
        else
          return invalidArgument("not a command on records");
      },
      change.What);
  if (!done) {
    transaction.rollBack();
    return done.error();
  }
  return transaction.takeUpdates();
}

Status checkOperatorChange(const State &state, const Change &change) {
  if (change.Number == 0)
    return invalidArgument("an operator's change needs a change number");
  if (change.ExpectedRevision != 0 &&
      change.ExpectedRevision < state.OperatorRevision)
    return conflict("expected revision " +
                    std::to_string(change.ExpectedRevision) +
                    ", but an operator's change came at revision " +
                    std::to_string(state.OperatorRevision));
  return core::ok();
}

ApplyResult executeChecked(State &state, const Change &change) {
  if (!change.Operator.empty())
    if (auto valid = checkOperatorChange(state, change); !valid)
      return {{false, state.View.Revision, valid.error()}, {}};
  auto updates = executeCommand(state, change);
  if (!updates)
    return {{false, state.View.Revision, updates.error()}, {}};
  if (!change.Operator.empty())
    state.OperatorRevision = state.View.Revision;
  return {{true, state.View.Revision, {}}, std::move(updates.value())};
}

void recordChange(State &state, const Change &change, const std::string &digest,
                  const ChangeResult &result) {
  const State::ChangeKey key(change.Operator, change.Number);
  state.Changes.emplace(key, RecordedChange{digest, result});
  state.ChangeOrder.push_back(key);
  if (state.ChangeOrder.size() > MaxRecordedChanges) {
    state.Changes.erase(state.ChangeOrder.front());
    state.ChangeOrder.pop_front();
  }
  state.Audit.push_back(
      AuditEntry{result.Revision, change.Operator, change.Number,
                 change.AtWallMs, kindName(change.What), change.Reason,
                 result.Accepted, result.Accepted ? "" : result.Refusal.Text});
  if (state.Audit.size() > MaxAuditEntries)
    state.Audit.pop_front();
}

} // namespace

int64_t countUnavailableVms(const View &view, const core::PoolId &pool) {
  return std::count_if(view.Vms.begin(), view.Vms.end(), [&](const auto &row) {
    const model::Vm &vm = *row.second;
    return vm.Pool == pool && (vm.Phase != VmPhase::Active || vm.Leaving);
  });
}

int64_t availabilityBudget(const View &view, const core::PoolId &pool,
                           int64_t vms) {
  const int64_t percent =
      model::settingOf(view, pool, DefaultField::MaxUnavailablePercent);
  constexpr int64_t HundredPercent = 100;
  if (percent == 0 || vms == 0)
    return 0;
  return std::max<int64_t>(1, vms * percent / HundredPercent);
}

int64_t availabilityBudget(const View &view, const core::PoolId &pool) {
  const int64_t n =
      std::count_if(view.Vms.begin(), view.Vms.end(),
                    [&](const auto &row) { return row.second->Pool == pool; });
  return availabilityBudget(view, pool, n);
}

ApplyResult applyChange(State &state, const Change &change,
                        const std::string &digest) {
  if (change.Operator.empty())
    return executeChecked(state, change);
  const auto it = state.Changes.find({change.Operator, change.Number});
  if (it != state.Changes.end()) {
    if (it->second->Digest == digest)
      return {it->second->Result, {}};
    return {{false, state.View.Revision,
             conflict("change number " + std::to_string(change.Number) +
                      " of operator '" + change.Operator.str() +
                      "' was already used for a change with other content")},
            {}};
  }
  ApplyResult applied = executeChecked(state, change);
  if (change.Number != 0)
    recordChange(state, change, digest, applied.Result);
  return applied;
}

} // namespace almondgate::state
