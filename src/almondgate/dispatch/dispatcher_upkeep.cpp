#include "almondgate/dispatch/dispatcher.hpp"

#include "need.hpp"
#include "pool_room.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

constexpr int64_t AtWorkPercent = 100;

} // namespace

VmOperationHooks Dispatcher::upkeepHooks() {
  VmOperationHooks hooks;
  hooks.Now = Hooks.Now;
  hooks.LoadOf = [this](const core::VmId &vm) { return loadOf(vm); };
  hooks.Reserve = [this](const core::VmId &vm, bool reserved) {
    for (auto &[id, endpoint] : Endpoints)
      if (endpoint.Facts.Vm == vm) {
        endpoint.Reserved = reserved;
        endpoint.Doomed = endpoint.Doomed && reserved;
      }
  };
  hooks.WallClock = Hooks.WallClock;
  hooks.Evacuate = [this](const core::VmId &vm) { evacuate(vm); };
  hooks.SetTerminating = [this](const core::VmId &vm, bool doomed) {
    for (auto &[id, endpoint] : Endpoints)
      if (endpoint.Facts.Vm == vm)
        endpoint.Doomed = doomed;
  };
  hooks.Record = [this](std::vector<jobs::Event> events,
                        std::function<void(bool)> done) {
    recordAll(std::move(events), std::move(done));
  };
  hooks.OrderVm = [this](const VmOrder &order, auto done) {
    VmOrders.order(order, done);
  };
  hooks.MayOrder = [this](const core::VmId &vm) {
    return VmOrders.mayOrder(vm);
  };
  hooks.Log = Hooks.Log;
  return hooks;
}

VmLoad Dispatcher::loadOf(const core::VmId &vm) const {
  VmLoad load;
  for (const auto &[id, endpoint] : Endpoints) {
    if (endpoint.Facts.Vm != vm ||
        endpoint.Facts.BornMs < load.Incarnation.BornMs)
      continue;
    load.Incarnation = {id, endpoint.Facts.BornMs};
    load.Pool = endpoint.Facts.Pool;
    load.Reachable = !endpoint.Suspect && endpoint.Contacted;
    load.WithinBudget = budgetHolds(endpoint);
    load.ShortRuns = std::count_if(
        endpoint.Runs.begin(), endpoint.Runs.end(),
        [&](const TaskPlace &place) { return !stepOf(place)->LongRunning; });
    load.LongRuns = int64_t(endpoint.Runs.size()) - load.ShortRuns;
  }
  return load;
}

// Taking the endpoint away leaves no more tasks of each step missing than its
// budget allows, counting those that are missing elsewhere already.
bool Dispatcher::budgetHolds(const EndpointView &endpoint) const {
  std::map<std::pair<jobs::JobId, size_t>, int64_t> taken;
  for (const auto &place : endpoint.Runs)
    if (hasBudget(place))
      ++taken[firstOfStep(place)];
  for (const auto &[first, n] : taken)
    if (n + missingOf(first, endpoint.Facts.Id) > stepOf(first)->MayMiss)
      return false;
  return true;
}

Dispatcher::TaskPlace Dispatcher::firstOfStep(const TaskPlace &place) const {
  const auto *record = jobs::findJob(Ledger, place.first);
  const auto task = jobs::taskAt(place.first, *record->Spec, place.second);
  return {place.first, place.second - size_t(task.Index)};
}

// "running 100 %, 1 other of its step missing, 1 may be".
std::string Dispatcher::budgetTextOf(const TaskPlace &place) const {
  const auto *step = stepOf(place);
  const auto &slot = Open.at(place.first).Tasks[place.second];
  std::string text = std::string(phaseName(slot.Phase)) + " " +
                     std::to_string(slot.Percent) + " %";
  if (step->HasMayMiss)
    text += ", " + std::to_string(missingBesides(place)) +
            " others of its step missing, " + std::to_string(step->MayMiss) +
            " may be";
  return text;
}

// Tells what an order for a VM ends as it leaves, and counts the orders that
// would exceed a budget.
void Dispatcher::noteVmOrder(const VmOrder &order) {
  const char *kind = order.To.empty() ? "upkeep" : "move";
  std::string line = std::string(kind) + " of vm " + order.Vm.str() + " leaves";
  bool exceeds = false;
  for (const auto &[id, endpoint] : Endpoints) {
    if (endpoint.Facts.Vm != order.Vm)
      continue;
    line += ", ends " + id.str() + (endpoint.Contacted ? "" : " (not read)") +
            (endpoint.Suspect ? " (silent)" : "") + " with " +
            std::to_string(endpoint.Runs.size()) + " runs, " +
            std::to_string(endpoint.LongRuns) + " long";
    for (const auto &place : endpoint.Runs) {
      if (!hasBudget(place))
        continue;
      line += "; " + place.first.str() + "#" + std::to_string(place.second) +
              " " + budgetTextOf(place);
      exceeds = exceeds || !mayEnd(place);
    }
  }
  Hooks.Log(line);
  Hooks.Count("vm_orders", "kind", kind);
  if (exceeds)
    Hooks.Count("budget_exceeded", "by", kind);
}

bool Dispatcher::mayEnd(const TaskPlace &place) const {
  return !hasBudget(place) || missingBesides(place) < stepOf(place)->MayMiss;
}

bool Dispatcher::hasBudget(const TaskPlace &place) const {
  return stepOf(place)->HasMayMiss &&
         jobs::findJob(Ledger, place.first)->isOpen();
}

// What an endpoint runs that has not been read is not known.
bool Dispatcher::mayEndAll(const VmOrder &order) const {
  return std::all_of(Endpoints.begin(), Endpoints.end(), [&](const auto &row) {
    const EndpointView &endpoint = row.second;
    return endpoint.Facts.Vm != order.Vm ||
           (!endpoint.isUnread() && budgetHolds(endpoint));
  });
}

std::function<bool()> Dispatcher::mayStillOrder(const VmOrder &order) {
  return [this, order, generation = Generation] {
    const bool may = generation == Generation && active() && mayEndAll(order);
    if (!may)
      Hooks.Log("the order for vm " + order.Vm.str() + " comes too late");
    return may;
  };
}

bool Dispatcher::isOrderOpen(const jobs::EndpointFacts &facts) const {
  return Upkeep.hasUnconfirmedMaintenance(facts.Vm) ||
         Mover.hasUnconfirmedMove(facts.Vm, facts.Pool);
}

// Tasks of the step at `first` that are not surely at work, apart from those at
// the endpoint `besides`.
int64_t Dispatcher::missingOf(const TaskPlace &first,
                              const jobs::EndpointId &besides) const {
  const auto *spec = stepOf(first);
  const auto &tasks = Open.at(first.first).Tasks;
  int64_t missing = 0;
  for (size_t i = first.second; i < first.second + size_t(spec->Count); ++i) {
    const bool counts = besides.empty() || tasks[i].At != besides;
    missing += counts && !isSurelyAtWork(tasks[i]) ? 1 : 0;
  }
  return missing;
}

int64_t Dispatcher::missingBesides(const TaskPlace &place) const {
  const bool missing =
      !isSurelyAtWork(Open.at(place.first).Tasks[place.second]);
  return missingOf(firstOfStep(place), {}) - (missing ? 1 : 0);
}

bool Dispatcher::isSurelyAtWork(const TaskSlot &slot) const {
  const auto at = Endpoints.find(slot.At);
  return at != Endpoints.end() && !at->second.Doomed && !at->second.Suspect &&
         slot.Phase == TaskPhase::Running && slot.Percent >= AtWorkPercent;
}

// One task after the other of each step is stopped, and starts elsewhere.
void Dispatcher::evacuate(const core::VmId &vm) {
  for (auto &[id, endpoint] : Endpoints) {
    if (endpoint.Facts.Vm != vm || endpoint.Suspect)
      continue;
    const auto places = endpoint.Runs;
    for (const auto &place : places) {
      const auto *step = stepOf(place);
      const auto &job = Open.at(place.first);
      const bool movable = step->LongRunning && job.Record->isOpen() &&
                           slotOf(place)->Phase == TaskPhase::Running;
      if (!movable)
        continue;
      if (!mayEnd(place) || !hasRoomFor(*step, endpoint.Facts.Pool))
        continue;
      stop(place, "evacuation");
    }
  }
}

bool Dispatcher::hasRoomFor(const jobs::StepSpec &step,
                            const core::PoolId &pool) {
  const auto pools = usablePools();
  const auto it = pools.find(pool);
  return it != pools.end() &&
         std::any_of(it->second.Endpoints.begin(), it->second.Endpoints.end(),
                     [&](const EndpointView *at) {
                       return core::fits(needOf(step),
                                         at->Facts.Capacity - at->Used);
                     });
}

} // namespace almondgate::dispatch
