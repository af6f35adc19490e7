#include "almondgate/dispatch/dispatcher.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

constexpr int64_t AtWorkPercent = 100;

} // namespace

UpkeepHooks Dispatcher::upkeepHooks() {
  UpkeepHooks hooks;
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
  hooks.Doom = [this](const core::VmId &vm) {
    for (auto &[id, endpoint] : Endpoints)
      if (endpoint.Facts.Vm == vm)
        endpoint.Doomed = true;
  };
  hooks.Record = [this](std::vector<jobs::Event> events,
                        std::function<void(bool)> done) {
    for (auto &event : events)
      record(std::move(event));
    afterRecorded(std::move(done));
  };
  hooks.OrderVm = Hooks.OrderVm;
  hooks.Log = Hooks.Log;
  return hooks;
}

VmLoad Dispatcher::loadOf(const core::VmId &vm) const {
  VmLoad load;
  for (const auto &[id, endpoint] : Endpoints) {
    if (endpoint.Facts.Vm != vm || endpoint.Facts.BornMs < load.Life.BornMs)
      continue;
    load.Life = {id, endpoint.Facts.BornMs};
    load.Reachable = !endpoint.Suspect && endpoint.Contacted;
    load.BudgetHolds = budgetHolds(endpoint);
    load.ShortRuns = std::count_if(
        endpoint.Runs.begin(), endpoint.Runs.end(),
        [&](const TaskPlace &place) { return !stepOf(place)->LongRunning; });
    load.LongRuns = int64_t(endpoint.Runs.size()) - load.ShortRuns;
  }
  return load;
}

// Taking the endpoint away leaves fewer tasks of each step missing than its
// budget allows, counting those that are missing already.
bool Dispatcher::budgetHolds(const EndpointView &endpoint) const {
  std::map<std::pair<jobs::JobId, size_t>, int64_t> taken;
  for (const auto &place : endpoint.Runs) {
    const auto *record = jobs::findJob(Ledger, place.first);
    const auto task = jobs::taskAt(place.first, *record->Spec, place.second);
    if (record->Spec->Steps[task.Step].HasMayMiss && record->isOpen())
      ++taken[{place.first, place.second - size_t(task.Index)}];
  }
  for (const auto &[step, n] : taken) {
    const auto *record = jobs::findJob(Ledger, step.first);
    const auto *spec = stepOf(step);
    const auto &tasks = Open.at(step.first).Tasks;
    int64_t missing = n;
    for (size_t i = step.second; i < step.second + size_t(spec->Count); ++i) {
      const auto at = Endpoints.find(tasks[i].At);
      const bool doomed =
          at == Endpoints.end() || at->second.Doomed || at->second.Suspect;
      const bool at_work = tasks[i].Phase == TaskPhase::Running &&
                           tasks[i].Percent >= AtWorkPercent && !doomed;
      if (!at_work)
        ++missing;
    }
    if (record->isOpen() && missing > spec->MayMiss)
      return false;
  }
  return true;
}

} // namespace almondgate::dispatch
