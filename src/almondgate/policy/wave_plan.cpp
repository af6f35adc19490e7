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
      plan.Blockers.push_back("VM " + id.str() + " has not restarted");
  }
}

// How many more VMs of each pool may go out, from one pass over the VMs.
std::map<core::PoolId, int64_t> roomOfPools(const model::View &view,
                                            const VmStatuses &statuses) {
  struct Count {
    int64_t All = 0;
    int64_t Out = 0;
  };
  std::map<core::PoolId, Count> counts;
  for (const auto &[id, vm] : view.Vms) {
    Count &count = counts[vm->Pool];
    ++count.All;
    count.Out += isOut(*vm, statuses) ? 1 : 0;
  }
  std::map<core::PoolId, int64_t> out;
  for (const auto &[pool, count] : counts)
    out[pool] = state::availabilityBudget(view, pool, count.All) - count.Out;
  return out;
}

struct RackKey {
  core::PoolId Pool;
  core::RackId Rack;

  auto operator<=>(const RackKey &) const = default;
};

/// Where a rack stands in a wave.
struct RackCount {
  int64_t Open = 0;
  int64_t Waiting = 0;
};

/// A waiting VM's place in the order: racks under way first, then the fullest
/// racks, so that a rack is finished before the next is opened.
struct WaitingVm {
  bool RackUntouched = false;
  int64_t FewerWaiting = 0;
  RackKey Rack;
  const model::Vm *Vm = nullptr;

  bool operator<(const WaitingVm &other) const {
    return std::tie(RackUntouched, FewerWaiting, Rack, Vm->Id) <
           std::tie(other.RackUntouched, other.FewerWaiting, other.Rack,
                    other.Vm->Id);
  }
};

std::vector<const model::Vm *> waitingInOrder(const model::View &view,
                                              const Wave &wave) {
  std::vector<const model::Vm *> waiting;
  std::map<RackKey, RackCount> racks;
  for (const auto &[id, phase] : wave.Steps) {
    const auto *vm = model::find(view.Vms, id);
    if (!vm || phase == StepPhase::Done)
      continue;
    RackCount &rack = racks[{vm->Pool, vm->Rack}];
    ++(phase == StepPhase::Waiting ? rack.Waiting : rack.Open);
    if (phase == StepPhase::Waiting)
      waiting.push_back(vm);
  }
  std::vector<WaitingVm> ordered;
  ordered.reserve(waiting.size());
  for (const model::Vm *vm : waiting) {
    const RackKey key{vm->Pool, vm->Rack};
    const RackCount &rack = racks.at(key);
    ordered.push_back({rack.Open == 0, -rack.Waiting, key, vm});
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<const model::Vm *> out;
  out.reserve(ordered.size());
  for (const auto &item : ordered)
    out.push_back(item.Vm);
  return out;
}

} // namespace

int64_t unavailableInPool(const model::View &view, const core::PoolId &pool,
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
  auto room = roomOfPools(view, statuses);
  for (const model::Vm *vm : waitingInOrder(view, wave)) {
    const auto it = room.find(vm->Pool);
    const bool out_already = isOut(*vm, statuses);
    if (!out_already && it->second <= 0) {
      plan.Blockers.push_back("VM " + vm->Id.str() +
                              " waits for the budget of " + vm->Pool.str());
      continue;
    }
    it->second -= out_already ? 0 : 1;
    plan.Steps.push_back(
        {wave.Id, vm->Id, StepPhase::Waiting, StepPhase::Draining});
  }
  return plan;
}

} // namespace almondgate::policy
