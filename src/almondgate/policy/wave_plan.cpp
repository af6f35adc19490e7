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

bool isUnavailable(const model::Vm &vm, const VmStatuses &statuses) {
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

// Plans the next steps of VMs whose phase is Draining or Released.
void planStartedSteps(const model::View &view, const Wave &wave,
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
      plan.Blockers.push_back("VM " + id.str() +
                              " has not restarted or is not healthy");
  }
}

// Number of further VMs of each pool that may become unavailable within its
// availability budget. Computed in one pass over the VMs.
std::map<core::PoolId, int64_t> remainingBudgets(const model::View &view,
                                                 const VmStatuses &statuses) {
  struct Count {
    int64_t All = 0;
    int64_t Unavailable = 0;
  };
  std::map<core::PoolId, Count> counts;
  for (const auto &[id, vm] : view.Vms) {
    Count &count = counts[vm->Pool];
    ++count.All;
    count.Unavailable += isUnavailable(*vm, statuses) ? 1 : 0;
  }
  std::map<core::PoolId, int64_t> out;
  for (const auto &[pool, count] : counts)
    out[pool] =
        state::availabilityBudget(view, pool, count.All) - count.Unavailable;
  return out;
}

struct RackKey {
  core::PoolId Pool;
  core::RackId Rack;

  auto operator<=>(const RackKey &) const = default;
};

// Progress of a rack in a wave: numbers of started and waiting VMs.
struct RackCount {
  int64_t Started = 0;
  int64_t Waiting = 0;
};

// Sort key of a waiting VM: racks with started VMs first, then racks with the
// most waiting VMs, so that a rack is finished before the next is started.
struct WaitingVm {
  bool RackNotStarted = false;
  int64_t NegatedWaiting = 0;
  RackKey Rack;
  const model::Vm *Vm = nullptr;

  bool operator<(const WaitingVm &other) const {
    return std::tie(RackNotStarted, NegatedWaiting, Rack, Vm->Id) <
           std::tie(other.RackNotStarted, other.NegatedWaiting, other.Rack,
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
    ++(phase == StepPhase::Waiting ? rack.Waiting : rack.Started);
    if (phase == StepPhase::Waiting)
      waiting.push_back(vm);
  }
  std::vector<WaitingVm> ordered;
  ordered.reserve(waiting.size());
  for (const model::Vm *vm : waiting) {
    const RackKey key{vm->Pool, vm->Rack};
    const RackCount &rack = racks.at(key);
    ordered.push_back({rack.Started == 0, -rack.Waiting, key, vm});
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
    return row.second->Pool == pool && isUnavailable(*row.second, statuses);
  });
}

WavePlan planWave(const model::View &view, const Wave &wave,
                  const VmStatuses &statuses) {
  WavePlan plan;
  planStartedSteps(view, wave, statuses, plan);
  if (wave.Status != WaveStatus::Running)
    return plan;
  auto budgets = remainingBudgets(view, statuses);
  for (const model::Vm *vm : waitingInOrder(view, wave)) {
    const auto it = budgets.find(vm->Pool);
    const bool unavailable = isUnavailable(*vm, statuses);
    if (!unavailable && it->second <= 0) {
      plan.Blockers.push_back("VM " + vm->Id.str() +
                              " waits for the budget of " + vm->Pool.str());
      continue;
    }
    it->second -= unavailable ? 0 : 1;
    plan.Steps.push_back(
        {wave.Id, vm->Id, StepPhase::Waiting, StepPhase::Draining});
  }
  return plan;
}

} // namespace almondgate::policy
