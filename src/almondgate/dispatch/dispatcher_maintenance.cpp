#include "almondgate/dispatch/dispatcher.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

// Progress that a long-running task reports once it is ready.
constexpr int64_t ReadyPercent = 100;
// Added to the time that a stop takes, for clocks that differ in speed.
constexpr core::DurationMs StopMargin{100};

} // namespace

VmOperationHooks Dispatcher::maintenanceHooks() {
  VmOperationHooks hooks;
  hooks.Now = Hooks.Now;
  hooks.LoadOf = [this](const core::VmId &vm) { return loadOf(vm); };
  hooks.Reserve = [this](const core::VmId &vm, bool reserved) {
    for (auto *endpoint : endpointsOf(vm)) {
      endpoint->Reserved = reserved;
      endpoint->TerminationPending = endpoint->TerminationPending && reserved;
      Pools.update(*endpoint);
    }
  };
  hooks.WallClock = Hooks.WallClock;
  hooks.Evacuate = [this](const core::VmId &vm) { evacuate(vm); };
  hooks.SetTerminating = [this](const core::VmId &vm, bool terminating) {
    for (auto *endpoint : endpointsOf(vm))
      endpoint->TerminationPending = terminating;
  };
  hooks.Record = [this](std::vector<jobs::Event> events,
                        std::function<void(bool)> done) {
    recordEvents(std::move(events), std::move(done));
  };
  hooks.RecordEnded = [this](const jobs::EndpointIncarnation &at) {
    recordEnded(at.Id, at.BornMs);
  };
  hooks.OrderVm = [this](const VmOrder &order, auto done) {
    VmOrders.order(order, done);
  };
  hooks.MayOrder = [this](const core::VmId &vm) {
    return VmOrders.mayOrder(vm);
  };
  hooks.IsEvacuated = [this](const core::VmId &vm) {
    return isVmEvacuated(vm);
  };
  hooks.Log = Hooks.Log;
  return hooks;
}

VmLoad Dispatcher::loadOf(const core::VmId &vm) const {
  VmLoad load;
  for (const auto *known : endpointsOf(vm)) {
    const EndpointView &endpoint = *known;
    if (endpoint.Facts.BornMs < load.Incarnation.BornMs)
      continue;
    load.Incarnation = {endpoint.Facts.Id, endpoint.Facts.BornMs};
    load.Pool = endpoint.Facts.Pool;
    // An endpoint that was declared lost runs nothing.
    load.Reachable =
        endpoint.Facts.Idle || (!endpoint.Suspect && endpoint.InventoryRead);
    load.WithinBudget = keepsBudgets(endpoint);
    load.ShortRuns = std::count_if(endpoint.Runs.begin(), endpoint.Runs.end(),
                                   [&](const TaskKey &task_key) {
                                     return !findStep(task_key)->LongRunning;
                                   });
    load.LongRuns = int64_t(endpoint.Runs.size()) - load.ShortRuns;
  }
  return load;
}

// Tells whether each step stays within its availability budget when the
// endpoint is taken away, counting its tasks that are unavailable elsewhere
// already.
bool Dispatcher::keepsBudgets(const EndpointView &endpoint) const {
  std::map<std::pair<jobs::JobId, size_t>, int64_t> taken;
  for (const auto &task_key : endpoint.Runs)
    if (hasBudget(task_key))
      ++taken[firstTaskOfStep(task_key)];
  for (const auto &[first, n] : taken)
    if (n + countMissing(first, endpoint.Facts.Id) > findStep(first)->MayMiss)
      return false;
  return true;
}

Dispatcher::TaskKey Dispatcher::firstTaskOfStep(const TaskKey &task_key) const {
  const auto *record = jobs::findJob(Ledger, task_key.first);
  const auto task =
      jobs::taskAt(task_key.first, *record->Spec, task_key.second);
  return {task_key.first, task_key.second - size_t(task.Index)};
}

// Such as "running 100 %, other tasks of its step unavailable: 1, allowed: 1".
std::string Dispatcher::describeBudget(const TaskKey &task_key) const {
  const auto *step = findStep(task_key);
  const auto &state = OpenJobs.at(task_key.first).Tasks[task_key.second];
  std::string text = std::string(phaseName(state.Phase)) + " " +
                     std::to_string(state.Percent) + " %";
  if (step->HasMayMiss)
    text += ", other tasks of its step unavailable: " +
            std::to_string(countOtherMissing(task_key)) +
            ", allowed: " + std::to_string(step->MayMiss);
  return text;
}

// Logs which runs an order for a VM ends, right before it is sent, and counts
// the orders, and those that would exceed an availability budget.
void Dispatcher::reportVmOrder(const VmOrder &order) {
  const char *kind = order.To.empty() ? "upkeep" : "move";
  std::string line = "sending order for " +
                     std::string(order.To.empty() ? "maintenance" : "move") +
                     " of vm " + order.Vm.str();
  bool exceeds = false;
  for (const auto *known : endpointsOf(order.Vm)) {
    const EndpointView &endpoint = *known;
    line += ", ends " + endpoint.Facts.Id.str() +
            (endpoint.InventoryRead ? "" : " (inventory not read)") +
            (endpoint.Suspect ? " (unresponsive)" : "") + " with " +
            std::to_string(endpoint.Runs.size()) + " runs, " +
            std::to_string(endpoint.LongRunningCount) + " long-running";
    for (const auto &task_key : endpoint.Runs) {
      if (!hasBudget(task_key))
        continue;
      line += "; " + task_key.first.str() + "#" +
              std::to_string(task_key.second) + " " + describeBudget(task_key);
      exceeds = exceeds || !mayEndRun(task_key);
    }
  }
  Hooks.Log(line);
  Hooks.IncrementCounter("vm_orders", "kind", kind);
  if (exceeds)
    Hooks.IncrementCounter("budget_exceeded", "by", kind);
}

bool Dispatcher::mayEndRun(const TaskKey &task_key) const {
  return !hasBudget(task_key) ||
         countOtherMissing(task_key) < findStep(task_key)->MayMiss;
}

bool Dispatcher::mayStop(const TaskKey &task_key) const {
  const auto &state = OpenJobs.at(task_key.first).Tasks[task_key.second];
  return state.Percent < ReadyPercent || mayEndRun(task_key);
}

bool Dispatcher::hasBudget(const TaskKey &task_key) const {
  return findStep(task_key)->HasMayMiss &&
         jobs::findJob(Ledger, task_key.first)->isOpen();
}

// The runs of an endpoint that has not been read are unknown, so none of them
// may be ended.
bool Dispatcher::mayEndAllRuns(const VmOrder &order) const {
  const auto endpoints = endpointsOf(order.Vm);
  return std::all_of(
      endpoints.begin(), endpoints.end(), [this](const EndpointView *endpoint) {
        const bool known = endpoint->InventoryRead || endpoint->Facts.Idle;
        return known && keepsBudgets(*endpoint);
      });
}

DispatcherHooks::MaySend Dispatcher::makeSendCheck(const VmOrder &order) {
  return [this, order, leads = makeLeaderCheck()] {
    const bool may = leads() && mayCarryOut(order);
    if (!may)
      Hooks.Log("order for vm " + order.Vm.str() +
                " not sent: leadership was lost, the runs of the VM may no "
                "longer be ended, or its zone is under evacuation");
    return may;
  };
}

bool Dispatcher::hasUnresolvedVmOrder(const jobs::EndpointFacts &facts) const {
  return Maintenance.hasUnconfirmedMaintenance(facts.Vm) ||
         Mover.hasUnconfirmedMove(facts.Vm, facts.Pool) ||
         VmOrders.mayBeMovedFrom(facts.Vm, facts.Pool);
}

void Dispatcher::releaseInheritedMoves() {
  const auto expired = VmOrders.takeExpiredMoves();
  for (const auto &vm : expired)
    for (auto *endpoint : endpointsOf(vm)) {
      endpoint->Reserved = endpoint->TerminationPending =
          hasUnresolvedVmOrder(endpoint->Facts);
      Pools.update(*endpoint);
    }
}

// Counts the tasks of a step that are not confirmed ready, without those at
// the endpoint `excluded`. `first` is the first task of the step.
int64_t Dispatcher::countMissing(const TaskKey &first,
                                 const jobs::EndpointId &excluded) const {
  const auto *spec = findStep(first);
  const auto &tasks = OpenJobs.at(first.first).Tasks;
  int64_t missing = 0;
  for (size_t i = first.second; i < first.second + size_t(spec->Count); ++i) {
    const bool counts = excluded.empty() || tasks[i].Endpoint != excluded;
    missing += counts && !isConfirmedReady(tasks[i]) ? 1 : 0;
  }
  return missing;
}

int64_t Dispatcher::countOtherMissing(const TaskKey &task_key) const {
  const bool missing =
      !isConfirmedReady(OpenJobs.at(task_key.first).Tasks[task_key.second]);
  return countMissing(firstTaskOfStep(task_key), {}) - (missing ? 1 : 0);
}

bool Dispatcher::isConfirmedReady(const TaskState &state) const {
  const auto at = Endpoints.find(state.Endpoint);
  if (at == Endpoints.end())
    return false;
  const EndpointView &endpoint = at->second;
  const bool may_be_stopping =
      state.Inherited && remainingInheritedStopTime(endpoint).Count > 0;
  return !endpoint.TerminationPending && !endpoint.Suspect &&
         state.Phase == TaskPhase::Running && state.Percent >= ReadyPercent &&
         !may_be_stopping;
}

// The first read in this epoch fences the orders of earlier leaders, so a stop
// accepted before it is over once RunStopTimeout has passed.
core::DurationMs
Dispatcher::remainingInheritedStopTime(const EndpointView &endpoint) const {
  return core::DurationMs{endpoint.FirstReadClockMs.value_or(0)} +
         Options.RunStopTimeout + StopMargin -
         core::DurationMs{endpoint.LastReadClockMs};
}

// Stops long-running tasks of the VM as far as their budgets and the free
// capacity allow now. The stopped tasks start elsewhere; later calls stop the
// next ones.
void Dispatcher::evacuate(const core::VmId &vm) {
  for (auto *known : endpointsOf(vm)) {
    const EndpointView &endpoint = *known;
    if (endpoint.Suspect)
      continue;
    const auto task_keys = endpoint.Runs;
    for (const auto &task_key : task_keys) {
      const auto *step = findStep(task_key);
      const auto &job = OpenJobs.at(task_key.first);
      const bool movable = step->LongRunning && job.Record->isOpen() &&
                           findTaskState(task_key)->Phase == TaskPhase::Running;
      if (!movable)
        continue;
      if (!mayEndRun(task_key) || !hasCapacityFor(*step, endpoint.Facts.Pool))
        continue;
      stopTask(task_key, "evacuation");
    }
  }
}

bool Dispatcher::hasCapacityFor(const jobs::StepSpec &step,
                                const core::PoolId &pool) {
  const auto need = requiredCapacity(step);
  const auto usable = Pools.usableWithFree(pool, need.MilliCpus, Hooks.Now());
  return std::any_of(usable.begin(), usable.end(), [&](const EndpointView *at) {
    return core::fits(need, at->Facts.Capacity - at->Used);
  });
}

} // namespace almondgate::dispatch
