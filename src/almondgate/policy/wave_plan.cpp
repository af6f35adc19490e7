#include "almondgate/policy/wave_plan.hpp"
#include "almondgate/state/state.hpp"

#include <algorithm>

namespace almondgate::policy {

using model::StepPhase;
using model::VmPhase;
using model::Wave;
using model::WaveKind;
using model::WaveStatus;

namespace {

bool isHealthy(const VmStatuses &statuses, const core::VmId &vm) {
  const auto it = statuses.find(vm);
  return it != statuses.end() && it->second.Healthy;
}

bool isOut(const model::Vm &vm, const VmStatuses &statuses) {
  return vm.Phase != VmPhase::Active || vm.Leaving ||
         !isHealthy(statuses, vm.Id);
}

bool isEmpty(const VmStatuses &statuses, const core::VmId &vm) {
  const auto it = statuses.find(vm);
  return it != statuses.end() && it->second.Running == 0;
}

bool hasRestarted(const Wave &wave, const model::Vm &vm) {
  const auto it = wave.ReleasedBoot.find(vm.Id);
  return it != wave.ReleasedBoot.end() && it->second != vm.BootId;
}

bool endsWhenEmpty(WaveKind kind) {
  return kind == WaveKind::Drain || kind == WaveKind::Evacuate;
}

// The steps of VMs that are under way already.
void planOpenSteps(const model::View &view, const Wave &wave,
                   const VmStatuses &statuses, WavePlan &plan) {
  for (const auto &[id, phase] : wave.Steps) {
    const auto *vm = model::find(view.Vms, id);
    if (!vm)
      continue;
    if (phase == StepPhase::Draining && isEmpty(statuses, id))
      plan.Steps.push_back({wave.Id, id, phase, StepPhase::Released});
    const bool done = endsWhenEmpty(wave.Kind) ||
                      (hasRestarted(wave, *vm) && isHealthy(statuses, id));
    if (phase == StepPhase::Released && done)
      plan.Steps.push_back({wave.Id, id, phase, StepPhase::Done});
    if (phase == StepPhase::Released && !done)
      plan.HeldUp.push_back("VM " + id.str() + " has not restarted");
  }
}

struct RackKey {
  core::PoolId Pool;
  core::RackId Rack;

  auto operator<=>(const RackKey &) const = default;
};

// Waiting VMs, those of racks under way first, then the fullest racks: a rack
// is finished before the next is opened.
std::vector<const model::Vm *> waitingInOrder(const model::View &view,
                                              const Wave &wave) {
  std::vector<const model::Vm *> waiting;
  std::map<RackKey, int64_t> open;
  std::map<RackKey, int64_t> left;
  for (const auto &[id, phase] : wave.Steps) {
    const auto *vm = model::find(view.Vms, id);
    if (!vm || phase == StepPhase::Done)
      continue;
    const RackKey key{vm->Pool, vm->Rack};
    if (phase == StepPhase::Waiting) {
      waiting.push_back(vm);
      ++left[key];
    } else {
      ++open[key];
    }
  }
  const auto before = [&](const model::Vm *a, const model::Vm *b) {
    const RackKey ka{a->Pool, a->Rack};
    const RackKey kb{b->Pool, b->Rack};
    const bool open_a = open.contains(ka);
    const bool open_b = open.contains(kb);
    if (open_a != open_b)
      return open_a;
    if (left[ka] != left[kb])
      return left[ka] > left[kb];
    return std::tie(ka, a->Id) < std::tie(kb, b->Id);
  };
  std::sort(waiting.begin(), waiting.end(), before);
  return waiting;
}

} // namespace

int64_t outInPool(const model::View &view, const core::PoolId &pool,
                  const VmStatuses &statuses) {
  return std::count_if(view.Vms.begin(), view.Vms.end(), [&](const auto &row) {
    return row.second->Pool == pool && isOut(*row.second, statuses);
  });
}

WavePlan planWave(const model::View &view, const Wave &wave,
                  const VmStatuses &statuses) {
  WavePlan plan;
  planOpenSteps(view, wave, statuses, plan);
  if (wave.Status != WaveStatus::Running)
    return plan;
  std::map<core::PoolId, int64_t> room;
  for (const model::Vm *vm : waitingInOrder(view, wave)) {
    const auto [it, first] = room.try_emplace(vm->Pool, 0);
    if (first)
      it->second = state::availabilityBudget(view, vm->Pool) -
                   outInPool(view, vm->Pool, statuses);
    const bool out_already = isOut(*vm, statuses);
    if (!out_already && it->second <= 0) {
      plan.HeldUp.push_back("VM " + vm->Id.str() + " waits for the budget of " +
                            vm->Pool.str());
      continue;
    }
    it->second -= out_already ? 0 : 1;
    plan.Steps.push_back(
        {wave.Id, vm->Id, StepPhase::Waiting, StepPhase::Draining});
  }
  return plan;
}

} // namespace almondgate::policy
