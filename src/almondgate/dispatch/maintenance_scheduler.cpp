#include "almondgate/dispatch/maintenance_scheduler.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::VmId;
using jobs::WaveRecord;

namespace {

// Short runs on a reserved VM are waited for this long.
constexpr DurationMs LongestEmptying{4000};
constexpr DurationMs ListLife{1500};
// A wave is planned to end after this part of its time.
constexpr int64_t AimPercent = 65;
constexpr int64_t Hundred = 100;
// Emptying a VM before its upkeep takes about this long.
constexpr int64_t EmptyingMs = 1500;
constexpr DurationMs OrderRetry{500};
constexpr DurationMs BusyPause{1500};
// A VM that is not back by then is looked for in the list.
constexpr DurationMs ReturnPatience{1000};

} // namespace

MaintenanceScheduler::MaintenanceScheduler(DispatcherOptions options,
                                           VmOperationHooks hooks,
                                           const jobs::Ledger &ledger,
                                           VmListCache &list)
    : Options(std::move(options)), Hooks(std::move(hooks)), Ledger(ledger),
      List(list) {}

void MaintenanceScheduler::begin(uint64_t epoch) {
  end();
  Active = true;
  Epoch = epoch;
}

void MaintenanceScheduler::end() {
  Active = false;
  ++Generation;
  Outages.clear();
  Reserved.clear();
  Recording.clear();
}

void MaintenanceScheduler::run(const Moving &moving) {
  if (!Active)
    return;
  for (const auto &[number, wave] : Ledger.Waves)
    if (!wave.isCompleted())
      runWave(wave, moving);
}

bool MaintenanceScheduler::hasUnconfirmedMaintenance(const VmId &vm) const {
  const auto outage = Outages.find(vm);
  if (outage != Outages.end())
    return !outage->second.Accepted;
  return std::any_of(
      Ledger.Waves.begin(), Ledger.Waves.end(), [&](const auto &row) {
        const WaveRecord &wave = row.second;
        return wave.Begun.contains(vm) && !wave.Finished.contains(vm);
      });
}

std::set<VmId> MaintenanceScheduler::vmsInMaintenance() const {
  std::set<VmId> out = Recording;
  for (const auto &[vm, since] : Reserved)
    out.insert(vm);
  for (const auto &[number, wave] : Ledger.Waves)
    for (const auto &[vm, ends] : wave.Begun)
      if (!wave.Finished.contains(vm))
        out.insert(vm);
  return out;
}

void MaintenanceScheduler::runWave(const WaveRecord &wave,
                                   const Moving &moving) {
  if (!List.isLoaded()) {
    List.refresh();
    return;
  }
  int64_t down = 0;
  for (const auto &[vm, ends] : wave.Begun)
    if (!wave.Finished.contains(vm)) {
      ++down;
      followOutage(wave, vm);
    }
  for (const auto &vm : Recording)
    down += wave.Begun.contains(vm) ? 0 : 1;
  prepare(wave, std::min(wave.UpperLimit, neededDown(wave)) - down, moving);
}

// Taking many down at once costs capacity: only as many as end the wave in
// good time.
int64_t MaintenanceScheduler::neededDown(const WaveRecord &wave) const {
  const int64_t left = int64_t(wave.Vms.size() - wave.Finished.size());
  const int64_t passed = Hooks.WallClock() - wave.StartedWallMs;
  const int64_t aim = wave.DurationMs * AimPercent / Hundred;
  const int64_t time_left = std::max<int64_t>(aim - passed, 1);
  const int64_t each = Options.MaintenanceDuration.Count + EmptyingMs;
  return std::max<int64_t>(1, (left * each + time_left - 1) / time_left);
}

// Sees whether a VM whose upkeep has begun is back.
void MaintenanceScheduler::followOutage(const WaveRecord &wave,
                                        const VmId &vm) {
  const auto now = Hooks.Now();
  // Begun by an earlier leader where it is not known here.
  Outage &outage =
      Outages
          .try_emplace(vm, Outage{.Ends = wave.Begun.at(vm), .Unclear = true})
          .first->second;
  if (outage.Calling)
    return;
  const VmLoad load = Hooks.LoadOf(vm);
  if (!outage.Accepted) {
    orderAgain(wave, vm, outage, load);
    return;
  }
  if (!load.Incarnation.Id.empty() && load.Incarnation != outage.Ends) {
    finish(wave.Number, vm, "its endpoint is back");
    return;
  }
  if (now - outage.Ordered < Options.MaintenanceDuration + ReturnPatience)
    return;
  const auto *listed = List.find(vm);
  const bool fresh =
      List.wasReadSince(outage.Ordered + Options.MaintenanceDuration);
  if (fresh && !listed)
    finish(wave.Number, vm, "it left the fleet");
  else if (fresh && listed->State == VmState::Up)
    finish(wave.Number, vm, "the list says it is up");
  else
    List.refresh();
}

// Another life may have come by a crash or a move: only the VM service's word
// shows that the upkeep has begun. Ordered twice, it is done once.
void MaintenanceScheduler::orderAgain(const WaveRecord &wave, const VmId &vm,
                                      Outage &outage, const VmLoad &load) {
  const auto now = Hooks.Now();
  if (!Hooks.MayOrder(vm) || now - outage.Ordered < OrderRetry)
    return;
  if (!load.Incarnation.Id.empty() && !load.WithinBudget) {
    // Work may have come to the VM since its upkeep was begun.
    Hooks.Reserve(vm, true);
    Hooks.Evacuate(vm);
    return;
  }
  Hooks.SetTerminating(vm, true);
  outage.OrderedAt = load.Incarnation;
  order(wave.Number, vm);
}

// Switched-off and empty VMs first: their upkeep costs nobody anything.
std::vector<VmId> MaintenanceScheduler::inOrder(const WaveRecord &wave) const {
  std::vector<std::pair<int64_t, VmId>> ranked;
  for (const auto &vm : wave.Vms) {
    if (wave.Begun.contains(vm) || wave.Finished.contains(vm) ||
        Recording.contains(vm))
      continue;
    const VmLoad load = Hooks.LoadOf(vm);
    const int64_t runs = load.ShortRuns + load.LongRuns;
    const bool off = load.Incarnation.Id.empty();
    // A VM that is being emptied stays first in line.
    ranked.emplace_back(Reserved.contains(vm) || off ? -1 : runs, vm);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<VmId> out;
  out.reserve(ranked.size());
  for (const auto &[rank, vm] : ranked)
    out.push_back(vm);
  return out;
}

void MaintenanceScheduler::prepare(const WaveRecord &wave, int64_t free_places,
                                   const Moving &moving) {
  const auto now = Hooks.Now();
  for (const auto &vm : inOrder(wave)) {
    if (!List.find(vm)) {
      if (List.wasReadSince(now - ListLife))
        finish(wave.Number, vm, "it is not in the fleet");
      else
        List.refresh();
      continue;
    }
    if (free_places <= 0 || moving(vm) || !Hooks.MayOrder(vm))
      continue;
    const VmLoad load = Hooks.LoadOf(vm);
    if (!load.Reachable) {
      if (Reserved.erase(vm) > 0)
        Hooks.Reserve(vm, false);
      continue;
    }
    --free_places;
    const auto [reserved, added] = Reserved.try_emplace(vm, now);
    if (added)
      Hooks.Reserve(vm, true);
    if (!load.WithinBudget) {
      Hooks.Evacuate(vm);
      continue;
    }
    if (load.ShortRuns > 0 && now - reserved->second < LongestEmptying)
      continue;
    takeDown(wave, vm, load);
  }
}

void MaintenanceScheduler::takeDown(const WaveRecord &wave, const VmId &vm,
                                    const VmLoad &load) {
  Recording.insert(vm);
  Hooks.SetTerminating(vm, true);
  Hooks.Record({jobs::MaintenanceBegun{wave.Number, vm, load.Incarnation}},
               [this, vm, load, number = wave.Number,
                generation = Generation](bool durable) {
                 if (generation != Generation)
                   return;
                 Recording.erase(vm);
                 if (!durable) {
                   Hooks.SetTerminating(vm, false);
                   return;
                 }
                 Outages[vm] = Outage{load.Incarnation, load.Incarnation};
                 order(number, vm);
               });
}

void MaintenanceScheduler::order(int64_t wave, const VmId &vm) {
  Outage &outage = Outages.at(vm);
  outage.Ordered = Hooks.Now();
  outage.Calling = true;
  Hooks.Log("upkeep of vm " + vm.str() + " for wave " + std::to_string(wave) +
            " is ordered");
  VmOrder order;
  order.Vm = vm;
  order.Wave = wave;
  order.Holder = Options.Holder;
  order.Epoch = Epoch;
  Hooks.OrderVm(
      order, [this, wave, vm, generation = Generation](VmOrderResult result) {
        if (generation == Generation)
          onOrdered(wave, vm, result);
      });
}

void MaintenanceScheduler::onOrdered(int64_t wave, const VmId &vm,
                                     VmOrderResult result) {
  Outage &outage = Outages.at(vm);
  outage.Calling = false;
  switch (result) {
  case VmOrderResult::Accepted:
    outage.Accepted = true;
    // A later life may be untouched, where the upkeep was over already.
    if (!outage.Ends.Id.empty() && outage.Ends == outage.OrderedAt)
      Hooks.Record({jobs::EndpointGone{outage.Ends.Id, outage.Ends.BornMs}},
                   [](bool) {});
    return;
  case VmOrderResult::Busy:
    Hooks.Log("vm " + vm.str() + " is busy: its upkeep is ordered again later");
    outage.Ordered = Hooks.Now() + BusyPause;
    List.refresh();
    return;
  case VmOrderResult::Refused:
    finish(wave, vm, "the VM service refuses it");
    return;
  case VmOrderResult::Withheld:
    // It counts as missing no longer, unless an earlier order may hold.
    Hooks.SetTerminating(vm, outage.Unclear);
    return;
  case VmOrderResult::Fenced:
  case VmOrderResult::Throttled:
  case VmOrderResult::NoAnswer:
    outage.Unclear = outage.Unclear || result == VmOrderResult::NoAnswer;
    Hooks.Log("upkeep of vm " + vm.str() + " has no clear answer yet");
    return;
  }
}

void MaintenanceScheduler::finish(int64_t wave, const VmId &vm,
                                  const char *why) {
  if (!Recording.insert(vm).second)
    return;
  Hooks.Log("vm " + vm.str() + " of wave " + std::to_string(wave) +
            " is finished: " + why);
  Reserved.erase(vm);
  Hooks.Reserve(vm, false);
  Hooks.Record({jobs::MaintenanceFinished{wave, vm}},
               [this, vm, generation = Generation](bool) {
                 if (generation != Generation)
                   return;
                 Recording.erase(vm);
                 Outages.erase(vm);
               });
}

} // namespace almondgate::dispatch
