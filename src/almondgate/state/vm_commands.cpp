#include "almondgate/state/state.hpp"

#include "view_transaction.hpp"

#include <algorithm>

namespace almondgate::state {

using core::Status;
using model::StepPhase;
using model::View;
using model::VmPhase;
using model::WaveKind;
using model::WaveStatus;

// --- VMs

Status execute(ViewTransaction &transaction, const RegisterVm &command) {
  const auto &facts = command.Facts;
  if (auto named = checkName("VM", facts.Vm.str()); !named)
    return named;
  const auto *found = model::find(transaction.view().Vms, facts.Vm);
  model::Vm next = found ? *found : model::Vm{};
  next.Id = facts.Vm;
  next.Endpoint = facts.Endpoint;
  next.Zone = facts.Zone;
  next.Rack = facts.Rack;
  next.BootId = facts.BootId;
  next.Capacity = facts.Capacity;
  next.Leaving = facts.Leaving;
  if (!found || next != *found)
    transaction.put(next);
  return core::ok();
}

Status execute(ViewTransaction &transaction, const MoveVm &command) {
  const auto *found = model::find(transaction.view().Vms, command.Vm);
  if (!command.To.empty() && !model::find(transaction.view().Pools, command.To))
    return notFound("pool", command.To.str());
  if (!found && !command.From.empty())
    return notFound("VM", command.Vm.str());
  if (auto named = checkName("VM", command.Vm.str()); !named)
    return named;
  model::Vm next = found ? *found : model::Vm{.Id = command.Vm};
  if (next.Pool != command.From)
    return conflict("VM '" + command.Vm.str() + "' is in pool '" +
                    next.Pool.str() + "', not in '" + command.From.str() + "'");
  next.Pool = command.To;
  // The owner of the previous pool may not have applied the move yet. A move
  // from no pool keeps the mark of an earlier move.
  if (!command.From.empty())
    next.MovedAt = transaction.revision();
  transaction.put(next);
  return core::ok();
}

Status execute(ViewTransaction &transaction, const CompleteVmMove &command) {
  const auto *found = model::find(transaction.view().Vms, command.Vm);
  if (!found)
    return notFound("VM", command.Vm.str());
  if (found->MovedAt != command.MovedAt)
    return conflict("VM '" + command.Vm.str() +
                    "' has no pending move of revision " +
                    std::to_string(command.MovedAt));
  model::Vm next = *found;
  next.MovedAt = 0;
  transaction.put(next);
  return core::ok();
}

static Status checkAvailabilityBudget(const View &view, const model::Vm &vm) {
  const bool already_unavailable = vm.Phase != VmPhase::Active || vm.Leaving;
  if (already_unavailable ||
      countUnavailableVms(view, vm.Pool) < availabilityBudget(view, vm.Pool))
    return core::ok();
  return conflict("the availability budget of pool '" + vm.Pool.str() +
                  "' is used up");
}

Status execute(ViewTransaction &transaction, const SetVmPhase &command) {
  const auto *found = model::find(transaction.view().Vms, command.Vm);
  if (!found)
    return notFound("VM", command.Vm.str());
  if (command.Phase == VmPhase::Released)
    return invalidArgument(
        "a VM is released only by a wave, once it has drained");
  if (command.Phase != VmPhase::Active && !found->Pool.empty())
    if (auto fits = checkAvailabilityBudget(transaction.view(), *found); !fits)
      return fits;
  model::Vm next = *found;
  next.Phase = command.Phase;
  transaction.put(next);
  return core::ok();
}

// --- waves

static bool matches(const model::Wave &wave, const model::Vm &vm) {
  if (vm.Pool.empty())
    return false;
  return (wave.Pool.empty() || wave.Pool == vm.Pool) &&
         (wave.Rack.empty() || wave.Rack == vm.Rack) &&
         (wave.Zone.empty() || wave.Zone == vm.Zone);
}

static bool isInOpenWave(const View &view, const core::VmId &vm) {
  return std::any_of(
      view.Waves.begin(), view.Waves.end(), [&](const auto &row) {
        const model::Wave &wave = *row.second;
        const bool open = wave.Status == WaveStatus::Running ||
                          wave.Status == WaveStatus::Paused;
        const auto it = wave.Steps.find(vm);
        return open && it != wave.Steps.end() && it->second != StepPhase::Done;
      });
}

Status execute(ViewTransaction &transaction, const CreateWave &command) {
  model::Wave wave = command.Created;
  if (auto named = checkName("wave", wave.Id.str()); !named)
    return named;
  if (model::find(transaction.view().Waves, wave.Id))
    return conflict("wave '" + wave.Id.str() + "' already exists");
  wave.Status = WaveStatus::Running;
  wave.Steps.clear();
  wave.ReleasedBoot.clear();
  for (const auto &[id, vm] : transaction.view().Vms) {
    if (!matches(wave, *vm))
      continue;
    if (isInOpenWave(transaction.view(), id))
      return conflict("VM '" + id.str() + "' is in another open wave");
    wave.Steps.emplace(id, StepPhase::Waiting);
  }
  if (wave.Steps.empty())
    return invalidArgument("no VM matches wave '" + wave.Id.str() + "'");
  transaction.put(wave);
  return core::ok();
}

static void setVmPhase(ViewTransaction &transaction, const core::VmId &vm,
                       VmPhase phase) {
  const auto *found = model::find(transaction.view().Vms, vm);
  if (!found)
    return;
  model::Vm next = *found;
  next.Phase = phase;
  transaction.put(next);
}

Status execute(ViewTransaction &transaction, const SetWaveStatus &command) {
  const auto *found = model::find(transaction.view().Waves, command.Wave);
  if (!found)
    return notFound("wave", command.Wave.str());
  if (found->Status == WaveStatus::Done ||
      found->Status == WaveStatus::Cancelled)
    return conflict("wave '" + command.Wave.str() + "' has ended");
  if (command.Status == WaveStatus::Done)
    return invalidArgument(
        "a wave is done only when all of its steps are done");
  model::Wave next = *found;
  next.Status = command.Status;
  transaction.put(next);
  if (command.Status != WaveStatus::Cancelled)
    return core::ok();
  for (const auto &[vm, phase] : next.Steps)
    if (phase == StepPhase::Draining)
      setVmPhase(transaction, vm, VmPhase::Active);
  return core::ok();
}

static bool isNextStep(StepPhase from, StepPhase to) {
  return static_cast<int>(to) == static_cast<int>(from) + 1;
}

static bool returnsToService(WaveKind kind) {
  return kind == WaveKind::Reboot || kind == WaveKind::Replace;
}

static VmPhase vmPhaseFor(WaveKind kind, StepPhase step) {
  switch (step) {
  case StepPhase::Waiting:
    return VmPhase::Active;
  case StepPhase::Draining:
    return VmPhase::Draining;
  case StepPhase::Released:
    return VmPhase::Released;
  case StepPhase::Done:
    return returnsToService(kind) ? VmPhase::Active : VmPhase::Released;
  }
  return VmPhase::Active;
}

Status execute(ViewTransaction &transaction, const AdvanceWave &command) {
  const auto *wave = model::find(transaction.view().Waves, command.Wave);
  if (!wave)
    return notFound("wave", command.Wave.str());
  const auto it = wave->Steps.find(command.Vm);
  const auto *vm = model::find(transaction.view().Vms, command.Vm);
  if (it == wave->Steps.end() || !vm)
    return core::Error{core::ErrorCode::NotFound, "no VM '" + command.Vm.str() +
                                                      "' in wave '" +
                                                      command.Wave.str() + "'"};
  if (it->second != command.From || !isNextStep(command.From, command.To))
    return conflict("VM '" + command.Vm.str() + "' is " +
                    model::stepPhaseName(it->second) + " in wave '" +
                    command.Wave.str() + "'; cannot advance from " +
                    model::stepPhaseName(command.From) + " to " +
                    model::stepPhaseName(command.To));
  if (command.To == StepPhase::Draining) {
    if (wave->Status != WaveStatus::Running)
      return conflict("wave '" + command.Wave.str() + "' is not running");
    if (auto fits = checkAvailabilityBudget(transaction.view(), *vm); !fits)
      return fits;
  }
  model::Wave next = *wave;
  next.Steps[command.Vm] = command.To;
  if (command.To == StepPhase::Released)
    next.ReleasedBoot[command.Vm] = vm->BootId;
  const auto done = [](const auto &s) { return s.second == StepPhase::Done; };
  if (std::all_of(next.Steps.begin(), next.Steps.end(), done))
    next.Status = WaveStatus::Done;
  const VmPhase phase = vmPhaseFor(next.Kind, command.To);
  transaction.put(next);
  setVmPhase(transaction, command.Vm, phase);
  return core::ok();
}

} // namespace almondgate::state
