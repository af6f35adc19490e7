#include "almondgate/state/state.hpp"

#include "draft.hpp"

#include <algorithm>

namespace almondgate::state {

using core::Status;
using model::StepPhase;
using model::View;
using model::VmPhase;
using model::WaveKind;
using model::WaveStatus;

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
  // The pool it leaves may still have an owner that has not heard of it. A
  // move by way of no pool keeps the mark.
  if (!command.From.empty())
    next.MovedAt = draft.revision();
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

static Status checkBudget(const View &view, const model::Vm &vm) {
  const bool out_already = vm.Phase != VmPhase::Active || vm.Leaving;
  if (out_already ||
      plannedOut(view, vm.Pool) < availabilityBudget(view, vm.Pool))
    return core::ok();
  return conflict("the availability budget of pool '" + vm.Pool.str() +
                  "' is used up");
}

Status run(Draft &draft, const SetVmPhase &command) {
  const auto *found = model::find(draft.view().Vms, command.Vm);
  if (!found)
    return missing("VM", command.Vm.str());
  if (command.Phase == VmPhase::Released)
    return invalid("a VM is released by a wave, once it is empty");
  if (command.Phase != VmPhase::Active && !found->Pool.empty())
    if (auto fits = checkBudget(draft.view(), *found); !fits)
      return fits;
  model::Vm next = *found;
  next.Phase = command.Phase;
  draft.put(next);
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

static bool inOtherWave(const View &view, const core::VmId &vm) {
  return std::any_of(
      view.Waves.begin(), view.Waves.end(), [&](const auto &row) {
        const model::Wave &wave = *row.second;
        const bool open = wave.Status == WaveStatus::Running ||
                          wave.Status == WaveStatus::Paused;
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

static void putPhase(Draft &draft, const core::VmId &vm, VmPhase phase) {
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

static bool isNextStep(StepPhase from, StepPhase to) {
  return static_cast<int>(to) == static_cast<int>(from) + 1;
}

static bool endsInService(WaveKind kind) {
  return kind == WaveKind::Reboot || kind == WaveKind::Replace;
}

static VmPhase phaseAfter(WaveKind kind, StepPhase step) {
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

} // namespace almondgate::state
