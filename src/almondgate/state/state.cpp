#include "almondgate/state/state.hpp"
#include "almondgate/core/result.hpp"

#include <algorithm>

namespace almondgate::state {

using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;
using model::DefaultField;
using model::StepPhase;
using model::Update;
using model::View;
using model::VmPhase;
using model::WaveKind;
using model::WaveStatus;

namespace {

using Updates = std::vector<Update>;

Error invalid(std::string text) {
  return {ErrorCode::InvalidArgument, std::move(text)};
}

Error missing(const char *kind, const std::string &id) {
  return {ErrorCode::NotFound, std::string("no ") + kind + " '" + id + "'"};
}

Error conflict(std::string text) {
  return {ErrorCode::Conflict, std::move(text)};
}

/// Applies a command's updates to the view as they come, and can take them all
/// back.
class Draft {
public:
  explicit Draft(View &view)
      : Now(view), Before(view.Revision), Next(view.Revision + 1) {}

  const View &view() const { return Now; }
  uint64_t revision() const { return Next; }

  void put(model::Record record) { add({Next, false, std::move(record)}); }
  void remove(model::Record record) { add({Next, true, std::move(record)}); }

  void rollBack() {
    for (auto it = Undo.rbegin(); it != Undo.rend(); ++it)
      Now.apply(*it);
    Now.Revision = Before;
  }

  Updates take() { return std::move(Collected); }

private:
  void add(Update update) {
    Undo.push_back(model::inverseOf(Now, update));
    Now.apply(update);
    Collected.push_back(std::move(update));
  }

  View &Now;
  uint64_t Before;
  uint64_t Next;
  Updates Collected;
  Updates Undo;
};

// --- PutRecords

Status checkName(const char *kind, const std::string &id) {
  const auto good = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' ||
           c == '_' || c == '.';
  };
  constexpr size_t MaxNameBytes = 100;
  if (id.empty() || id.size() > MaxNameBytes ||
      !std::all_of(id.begin(), id.end(), good))
    return invalid(std::string(kind) + " name '" + id +
                   "' must be 1 to 100 letters, digits, '-', '_' or '.'");
  return core::ok();
}

// Cuts the portions in proportion, so that they add up to at most the limit.
void scalePortions(Draft &draft, const core::TeamId &team, int64_t limit) {
  const int64_t sum = model::portionSum(draft.view(), team);
  if (sum <= limit)
    return;
  const auto portions = draft.view().Portions;
  for (const auto &[key, portion] : portions)
    if (key.first == team)
      draft.put(*portion.with(
          [&](model::Portion &p) { p.Amount = p.Amount * limit / sum; }));
}

Status put(Draft &draft, const model::Team &team) {
  if (auto named = checkName("team", team.Id.str()); !named)
    return named;
  if (team.Share < 1 || team.Limit < 0)
    return invalid("team '" + team.Id.str() +
                   "' needs a share of at least 1 and a limit of at least 0");
  model::Team next = team;
  const auto *before = model::find(draft.view().Teams, team.Id);
  next.ShrunkAt = before ? before->ShrunkAt : 0;
  if (before && team.Limit < before->Limit)
    next.ShrunkAt = draft.revision();
  draft.put(next);
  scalePortions(draft, team.Id, team.Limit);
  return core::ok();
}

Status put(Draft &draft, const model::Pool &pool) {
  if (auto named = checkName("pool", pool.Id.str()); !named)
    return named;
  draft.put(pool);
  return core::ok();
}

Status put(Draft &draft, const model::Queue &queue) {
  if (auto named = checkName("queue", queue.Id.str()); !named)
    return named;
  if (!model::find(draft.view().Pools, queue.Pool))
    return missing("pool", queue.Pool.str());
  if (!model::find(draft.view().Teams, queue.Team))
    return missing("team", queue.Team.str());
  const auto &size = queue.DefaultSize;
  if (size.Slots < 1 || size.MilliCpus < 0 || size.MemoryMb < 0 ||
      size.Accelerators < 0)
    return invalid("queue '" + queue.Id.str() + "' has a bad default size");
  draft.put(queue);
  return core::ok();
}

Status put(Draft &draft, const model::FleetDefaults &defaults) {
  constexpr int64_t HundredPercent = 100;
  if (defaults.MaxUnavailablePercent < 0 ||
      defaults.MaxUnavailablePercent > HundredPercent)
    return invalid("MaxUnavailablePercent must be 0 to 100");
  if (defaults.MaxWaiting < 1 || defaults.MaxWaitMs < 1 ||
      defaults.MaxRunMs < 1)
    return invalid("MaxWaiting, MaxWaitMs and MaxRunMs must be at least 1");
  draft.put(defaults);
  return core::ok();
}

Status put(Draft &draft, const model::PoolException &exception) {
  if (!model::find(draft.view().Pools, exception.Pool))
    return missing("pool", exception.Pool.str());
  if (exception.Reason.empty())
    return invalid("an exception needs a written reason");
  if (exception.Value < 0)
    return invalid("an exception's value must be at least 0");
  draft.put(exception);
  return core::ok();
}

template <class T> Status put(Draft &, const T &) {
  return invalid("records of this kind are not put by hand");
}

Status run(Draft &draft, const PutRecords &command) {
  for (const auto &record : command.Records) {
    Status done =
        std::visit([&](const auto &r) { return put(draft, r); }, record);
    if (!done)
      return done;
  }
  return core::ok();
}

// --- RemoveRecord

template <class Table, class Uses>
bool anyOf(const Table &table, const Uses &uses) {
  return std::any_of(table.begin(), table.end(),
                     [&](const auto &row) { return uses(*row.second); });
}

Status remove(Draft &draft, const model::Pool &pool) {
  const auto *found = model::find(draft.view().Pools, pool.Id);
  if (!found)
    return missing("pool", pool.Id.str());
  const auto uses = [&](const auto &r) { return r.Pool == pool.Id; };
  if (anyOf(draft.view().Vms, uses) || anyOf(draft.view().Queues, uses))
    return conflict("pool '" + pool.Id.str() + "' still has VMs or queues");
  const View before = draft.view();
  for (const auto &[key, portion] : before.Portions)
    if (portion->Pool == pool.Id)
      draft.remove(*portion);
  if (const auto *owner = model::find(before.Owners, pool.Id))
    draft.remove(*owner);
  draft.remove(*found);
  return core::ok();
}

Status remove(Draft &draft, const model::Team &team) {
  const auto *found = model::find(draft.view().Teams, team.Id);
  if (!found)
    return missing("team", team.Id.str());
  const auto uses = [&](const auto &r) { return r.Team == team.Id; };
  if (anyOf(draft.view().Queues, uses) || anyOf(draft.view().Keys, uses))
    return conflict("team '" + team.Id.str() + "' still has queues or keys");
  const View before = draft.view();
  for (const auto &[key, portion] : before.Portions)
    if (portion->Team == team.Id)
      draft.remove(*portion);
  draft.remove(*found);
  return core::ok();
}

Status remove(Draft &draft, const model::Queue &queue) {
  const auto *found = model::find(draft.view().Queues, queue.Id);
  if (!found)
    return missing("queue", queue.Id.str());
  draft.remove(*found);
  return core::ok();
}

Status remove(Draft &draft, const model::PoolException &exception) {
  const auto key = std::pair(exception.Pool, exception.Field);
  const auto *found = model::find(draft.view().Exceptions, key);
  if (!found)
    return missing("exception for pool", exception.Pool.str());
  draft.remove(*found);
  return core::ok();
}

template <class T> Status remove(Draft &, const T &) {
  return invalid("records of this kind are not removed by hand");
}

Status run(Draft &draft, const RemoveRecord &command) {
  return std::visit([&](const auto &r) { return remove(draft, r); },
                    command.Content);
}

// --- keys

Status run(Draft &draft, const GrantKey &command) {
  const auto &key = command.Granted;
  constexpr size_t HashDigits = 64;
  if (key.Hash.str().size() != HashDigits)
    return invalid("a key is granted by its SHA-256 in hexadecimal");
  if (!model::find(draft.view().Teams, key.Team))
    return missing("team", key.Team.str());
  const auto *found = model::find(draft.view().Keys, key.Hash);
  if (found && found->Team != key.Team)
    return conflict("the key belongs to another team");
  draft.put(key);
  return core::ok();
}

Status run(Draft &draft, const WithdrawKey &command) {
  const auto *found = model::find(draft.view().Keys, command.Hash);
  if (!found)
    return missing("key", command.Hash.str());
  draft.remove(*found);
  return core::ok();
}

// --- VMs

Status run(Draft &draft, const RegisterVm &command) {
  const auto &facts = command.Facts;
  if (auto named = checkName("VM", facts.Vm.str()); !named)
    return named;
  const auto *found = model::find(draft.view().Vms, facts.Vm);
  model::Vm next = found ? *found : model::Vm{};
  next.Id = facts.Vm;
  next.Endpoint = facts.Endpoint;
  next.Zone = facts.Zone;
  next.Rack = facts.Rack;
  next.BootId = facts.BootId;
  next.Capacity = facts.Capacity;
  next.Leaving = facts.Leaving;
  if (!found || next != *found)
    draft.put(next);
  return core::ok();
}

Status run(Draft &draft, const MoveVm &command) {
  const auto *found = model::find(draft.view().Vms, command.Vm);
  if (!command.To.empty() && !model::find(draft.view().Pools, command.To))
    return missing("pool", command.To.str());
  if (!found && !command.From.empty())
    return missing("VM", command.Vm.str());
  if (auto named = checkName("VM", command.Vm.str()); !named)
    return named;
  model::Vm next = found ? *found : model::Vm{.Id = command.Vm};
  if (next.Pool != command.From)
    return conflict("VM '" + command.Vm.str() + "' is in pool '" +
                    next.Pool.str() + "', not in '" + command.From.str() + "'");
  next.Pool = command.To;
  // The pool it leaves may still have an owner that has not heard of it.
  next.MovedAt = command.From.empty() ? 0 : draft.revision();
  draft.put(next);
  return core::ok();
}

Status run(Draft &draft, const SettleVm &command) {
  const auto *found = model::find(draft.view().Vms, command.Vm);
  if (!found)
    return missing("VM", command.Vm.str());
  if (found->MovedAt != command.MovedAt)
    return conflict("VM '" + command.Vm.str() + "' has moved again");
  model::Vm next = *found;
  next.MovedAt = 0;
  draft.put(next);
  return core::ok();
}

Status run(Draft &draft, const SetVmPhase &command) {
  const auto *found = model::find(draft.view().Vms, command.Vm);
  if (!found)
    return missing("VM", command.Vm.str());
  const bool goes_out = found->Phase == VmPhase::Active &&
                        command.Phase != VmPhase::Active && !found->Leaving;
  if (goes_out && !found->Pool.empty() &&
      plannedOut(draft.view(), found->Pool) >=
          availabilityBudget(draft.view(), found->Pool))
    return conflict("the availability budget of pool '" + found->Pool.str() +
                    "' is used up");
  model::Vm next = *found;
  next.Phase = command.Phase;
  draft.put(next);
  return core::ok();
}

// --- waves

bool matches(const model::Wave &wave, const model::Vm &vm) {
  if (vm.Pool.empty())
    return false;
  return (wave.Pool.empty() || wave.Pool == vm.Pool) &&
         (wave.Rack.empty() || wave.Rack == vm.Rack) &&
         (wave.Zone.empty() || wave.Zone == vm.Zone);
}

bool inOtherWave(const View &view, const core::VmId &vm) {
  return anyOf(view.Waves, [&](const model::Wave &wave) {
    const bool open =
        wave.Status == WaveStatus::Running || wave.Status == WaveStatus::Paused;
    const auto it = wave.Steps.find(vm);
    return open && it != wave.Steps.end() && it->second != StepPhase::Done;
  });
}

Status run(Draft &draft, const CreateWave &command) {
  model::Wave wave = command.Created;
  if (auto named = checkName("wave", wave.Id.str()); !named)
    return named;
  if (model::find(draft.view().Waves, wave.Id))
    return conflict("wave '" + wave.Id.str() + "' exists already");
  wave.Status = WaveStatus::Running;
  wave.Steps.clear();
  wave.ReleasedBoot.clear();
  for (const auto &[id, vm] : draft.view().Vms) {
    if (!matches(wave, *vm))
      continue;
    if (inOtherWave(draft.view(), id))
      return conflict("VM '" + id.str() + "' is in another open wave");
    wave.Steps.emplace(id, StepPhase::Waiting);
  }
  if (wave.Steps.empty())
    return invalid("no VM matches the wave");
  draft.put(wave);
  return core::ok();
}

void putPhase(Draft &draft, const core::VmId &vm, VmPhase phase) {
  const auto *found = model::find(draft.view().Vms, vm);
  if (!found)
    return;
  model::Vm next = *found;
  next.Phase = phase;
  draft.put(next);
}

Status run(Draft &draft, const SetWaveStatus &command) {
  const auto *found = model::find(draft.view().Waves, command.Wave);
  if (!found)
    return missing("wave", command.Wave.str());
  if (found->Status == WaveStatus::Done ||
      found->Status == WaveStatus::Cancelled)
    return conflict("wave '" + command.Wave.str() + "' has ended");
  if (command.Status == WaveStatus::Done)
    return invalid("a wave ends by itself");
  model::Wave next = *found;
  next.Status = command.Status;
  draft.put(next);
  if (command.Status != WaveStatus::Cancelled)
    return core::ok();
  for (const auto &[vm, phase] : next.Steps)
    if (phase == StepPhase::Draining)
      putPhase(draft, vm, VmPhase::Active);
  return core::ok();
}

bool isNextStep(StepPhase from, StepPhase to) {
  return static_cast<int>(to) == static_cast<int>(from) + 1;
}

bool endsInService(WaveKind kind) {
  return kind == WaveKind::Reboot || kind == WaveKind::Replace;
}

VmPhase phaseAfter(WaveKind kind, StepPhase step) {
  switch (step) {
  case StepPhase::Waiting:
    return VmPhase::Active;
  case StepPhase::Draining:
    return VmPhase::Draining;
  case StepPhase::Released:
    return VmPhase::Released;
  case StepPhase::Done:
    return endsInService(kind) ? VmPhase::Active : VmPhase::Released;
  }
  return VmPhase::Active;
}

Status checkBudget(const View &view, const model::Vm &vm) {
  const bool out_already = vm.Phase != VmPhase::Active || vm.Leaving;
  if (out_already ||
      plannedOut(view, vm.Pool) < availabilityBudget(view, vm.Pool))
    return core::ok();
  return conflict("the availability budget of pool '" + vm.Pool.str() +
                  "' is used up");
}

Status run(Draft &draft, const AdvanceWave &command) {
  const auto *wave = model::find(draft.view().Waves, command.Wave);
  if (!wave)
    return missing("wave", command.Wave.str());
  const auto it = wave->Steps.find(command.Vm);
  const auto *vm = model::find(draft.view().Vms, command.Vm);
  if (it == wave->Steps.end() || !vm)
    return missing("VM of the wave", command.Vm.str());
  if (it->second != command.From || !isNextStep(command.From, command.To))
    return conflict("VM '" + command.Vm.str() + "' is " +
                    model::stepPhaseName(it->second) + " in the wave");
  if (command.To == StepPhase::Draining) {
    if (wave->Status != WaveStatus::Running)
      return conflict("the wave is not running");
    if (auto fits = checkBudget(draft.view(), *vm); !fits)
      return fits;
  }
  model::Wave next = *wave;
  next.Steps[command.Vm] = command.To;
  if (command.To == StepPhase::Released)
    next.ReleasedBoot[command.Vm] = vm->BootId;
  const auto done = [](const auto &s) { return s.second == StepPhase::Done; };
  if (std::all_of(next.Steps.begin(), next.Steps.end(), done))
    next.Status = WaveStatus::Done;
  const VmPhase phase = phaseAfter(next.Kind, command.To);
  draft.put(next);
  putPhase(draft, command.Vm, phase);
  return core::ok();
}

// --- ownership and portions

Status run(Draft &draft, const AssignPool &command) {
  if (!model::find(draft.view().Pools, command.Pool))
    return missing("pool", command.Pool.str());
  const auto *owner = model::find(draft.view().Owners, command.Pool);
  const uint64_t epoch = owner ? owner->Epoch : 0;
  if (epoch != command.ExpectedEpoch)
    return conflict("pool '" + command.Pool.str() + "' is at epoch " +
                    std::to_string(epoch));
  draft.put(
      model::PoolOwner{command.Pool, command.Owner, command.Placer, epoch + 1});
  return core::ok();
}

Status run(Draft &draft, const SetPortion &command) {
  const auto *team = model::find(draft.view().Teams, command.Team);
  if (!team)
    return missing("team", command.Team.str());
  if (!model::find(draft.view().Pools, command.Pool))
    return missing("pool", command.Pool.str());
  const auto key = std::pair(command.Team, command.Pool);
  const auto *found = model::find(draft.view().Portions, key);
  const int64_t now = found ? found->Amount : 0;
  if (now != command.From)
    return conflict("the portion is " + std::to_string(now));
  if (command.To < 0)
    return invalid("a portion is at least 0");
  const int64_t sum = model::portionSum(draft.view(), command.Team);
  if (command.To > now && sum - now + command.To > team->Limit)
    return conflict("the portions would exceed the limit of team '" +
                    command.Team.str() + "'");
  draft.put(model::Portion{command.Team, command.Pool, command.To});
  return core::ok();
}

// --- intents

Status beginIntent(State &state, const BeginIntent &command, int64_t at) {
  const State::IntentKey key(command.Team, command.Key);
  const auto it = state.Intents.find(key);
  if (it != state.Intents.end()) {
    const Intent &first = *it->second;
    if (first.Digest != command.Digest)
      return conflict("the idempotency key was used for another request");
    if (first.Request == command.Request && first.Status == 0)
      return core::ok();
    const std::string how =
        first.Status == 0
            ? "its outcome is not known"
            : "it ended with status " + std::to_string(first.Status);
    return conflict("the request was dispatched before; " + how);
  }
  if (state.Intents.size() >= MaxIntents)
    return Error{ErrorCode::Overloaded, "too many recorded requests"};
  state.Intents.emplace(key, Intent{command.Digest, command.Request, at, 0});
  return core::ok();
}

Status finishIntent(State &state, const FinishIntent &command) {
  const auto it = state.Intents.find({command.Team, command.Key});
  if (it == state.Intents.end() || it->second->Request != command.Request)
    return missing("recorded request", command.Key);
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

// --- the whole

Result<Updates> runCommand(State &state, const Change &change) {
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
  Draft draft(state.View);
  const Status done = std::visit(
      [&](const auto &command) -> Status {
        if constexpr (requires { run(draft, command); })
          return run(draft, command);
        else
          return invalid("not a command on records");
      },
      change.What);
  if (!done) {
    draft.rollBack();
    return done.error();
  }
  return draft.take();
}

Status checkOperator(const State &state, const Change &change) {
  if (change.Number == 0)
    return invalid("an operator's change needs a number");
  if (change.ExpectedRevision != 0 &&
      change.ExpectedRevision < state.OperatorRevision)
    return conflict("expected revision " +
                    std::to_string(change.ExpectedRevision) +
                    ", but an operator's change came at revision " +
                    std::to_string(state.OperatorRevision));
  return core::ok();
}

Applied runChecked(State &state, const Change &change) {
  if (!change.Operator.empty())
    if (auto good = checkOperator(state, change); !good)
      return {{false, state.View.Revision, good.error()}, {}};
  auto updates = runCommand(state, change);
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

bool sameContent(const Change &a, const Change &b) {
  return a.Operator == b.Operator && a.Number == b.Number &&
         a.ExpectedRevision == b.ExpectedRevision && a.Reason == b.Reason &&
         a.What == b.What;
}

int64_t plannedOut(const View &view, const core::PoolId &pool) {
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

Applied applyChange(State &state, const Change &change,
                    const std::string &digest) {
  if (change.Operator.empty())
    return runChecked(state, change);
  const auto it = state.Changes.find({change.Operator, change.Number});
  if (it != state.Changes.end()) {
    if (it->second->Digest == digest)
      return {it->second->Result, {}};
    return {{false, state.View.Revision,
             conflict("change number " + std::to_string(change.Number) +
                      " of operator '" + change.Operator.str() +
                      "' was used for another change")},
            {}};
  }
  Applied applied = runChecked(state, change);
  if (change.Number != 0)
    recordChange(state, change, digest, applied.Result);
  return applied;
}

} // namespace almondgate::state
