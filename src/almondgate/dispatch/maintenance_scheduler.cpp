#include "almondgate/dispatch/maintenance_scheduler.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::VmId;
using jobs::WaveRecord;

namespace {

// How long a reserved VM waits for its short runs to end; then it is taken down
// with them.
constexpr DurationMs MaxDrainTime{4000};
constexpr DurationMs MaxListAge{1500};
// A wave is planned to end after this part of its duration.
constexpr int64_t TargetPercent = 65;
constexpr int64_t Hundred = 100;
// Draining a VM before its maintenance takes about this long.
constexpr int64_t ExpectedDrainMs = 1500;
constexpr DurationMs OrderRetryInterval{500};
constexpr DurationMs BusyRetryDelay{1500};
// A VM that is not back this long after the expected end of its maintenance is
// looked up in the VM list.
constexpr DurationMs ReturnGrace{1000};

// The number of VMs of the wave that are in `vms`.
int64_t countOf(const WaveRecord &wave, const std::set<VmId> &vms) {
  return std::count_if(wave.Vms.begin(), wave.Vms.end(),
                       [&](const VmId &vm) { return vms.contains(vm); });
}

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

void MaintenanceScheduler::run(const VmPredicate &is_moving) {
  if (!Active)
    return;
  for (const auto &[number, wave] : Ledger.Waves)
    if (!wave.isCompleted())
      advanceWave(wave, is_moving);
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
  std::set<VmId> out = vmsTakenDown();
  for (const auto &[vm, since] : Reserved)
    out.insert(vm);
  return out;
}

void MaintenanceScheduler::advanceWave(const WaveRecord &wave,
                                       const VmPredicate &is_moving) {
  if (!List.isLoaded()) {
    List.refresh();
    return;
  }
  for (const auto &[vm, ends] : wave.Begun)
    if (!wave.Finished.contains(vm))
      updateOutage(wave, vm);
  drainAndTakeDown(wave,
                   std::min(wave.UpperLimit, neededConcurrency(wave)) -
                       countOf(wave, vmsTakenDown()),
                   is_moving);
}

std::set<VmId> MaintenanceScheduler::vmsTakenDown() const {
  std::set<VmId> out = Recording;
  for (const auto &[number, wave] : Ledger.Waves) {
    if (wave.isCompleted())
      continue;
    for (const auto &[vm, ends] : wave.Begun)
      if (!wave.Finished.contains(vm))
        out.insert(vm);
  }
  return out;
}

// Taking many VMs down at once costs capacity: no more are taken down than it
// takes to end the wave at its target time.
int64_t MaintenanceScheduler::neededConcurrency(const WaveRecord &wave) const {
  const int64_t remaining = int64_t(wave.Vms.size() - wave.Finished.size());
  const int64_t elapsed = Hooks.WallClock() - wave.StartedWallMs;
  const int64_t target = wave.DurationMs * TargetPercent / Hundred;
  const int64_t time_left = std::max<int64_t>(target - elapsed, 1);
  const int64_t per_vm = Options.MaintenanceDuration.Count + ExpectedDrainMs;
  return std::max<int64_t>(1, (remaining * per_vm + time_left - 1) / time_left);
}

// Checks whether a VM whose maintenance has been started is back.
void MaintenanceScheduler::updateOutage(const WaveRecord &wave,
                                        const VmId &vm) {
  // An outage that is not known here was started by an earlier leader.
  Outage &outage = Outages
                       .try_emplace(vm, Outage{.Wave = wave.Number,
                                               .AtStart = wave.Begun.at(vm),
                                               .OutcomeUnknown = true})
                       .first->second;
  // Its end is being recorded.
  const bool ends = Recording.contains(vm);
  if (ends || outage.Wave != wave.Number || outage.CallPending)
    return;
  const VmLoad load = Hooks.LoadOf(vm);
  if (!outage.Accepted) {
    retryOrder(wave, vm, outage, load);
    return;
  }
  if (const char *why = endOf(outage, vm, load)) {
    finish(wave.Number, vm, why);
    return;
  }
  // After an order of unknown outcome, the maintenance may have been over when
  // it was confirmed.
  const bool overdue = Hooks.Now() - outage.AcceptedAt >=
                       Options.MaintenanceDuration + ReturnGrace;
  if (outage.OutcomeUnknown || overdue)
    List.refresh();
}

// The endpoint may crash and return at any time before the VM service carries
// the order out, and an incarnation that the maintenance ended may be reported
// late. So a new incarnation shows the end only if it was not known at the
// confirmation and the VM has been down for long enough.
const char *MaintenanceScheduler::endOf(const Outage &outage, const VmId &vm,
                                        const VmLoad &load) const {
  const auto due = outage.AcceptedAt + Options.MaintenanceDuration;
  const auto *listed = List.find(vm);
  if (!listed && List.wasReadSince(due))
    return "the VM has left the fleet";
  if (listed && listed->State == VmState::Up &&
      List.wasReadSince(outage.AcceptedAt))
    return "the VM service lists the VM as up";
  const bool is_new = !load.Incarnation.Id.empty() &&
                      load.Incarnation != outage.AtStart &&
                      load.Incarnation != outage.AtLastOrder &&
                      load.Incarnation != outage.AtAcceptance;
  if (is_new && Hooks.Now() >= due)
    return "its endpoint is back in a new incarnation";
  return nullptr;
}

// A new incarnation may also come from a crash or a move: only the VM service's
// answer shows that the maintenance has begun. The VM service carries out a
// repeated order once.
void MaintenanceScheduler::retryOrder(const WaveRecord &wave, const VmId &vm,
                                      Outage &outage, const VmLoad &load) {
  const auto now = Hooks.Now();
  if (!Hooks.MayOrder(vm) || now - outage.OrderedAt < OrderRetryInterval)
    return;
  if (!load.Incarnation.Id.empty() && !load.WithinBudget) {
    // Work may have been placed on the VM since its maintenance was started.
    Hooks.Reserve(vm, true);
    Hooks.Evacuate(vm);
    return;
  }
  Hooks.SetTerminating(vm, true);
  outage.AtLastOrder = load.Incarnation;
  sendOrder(wave.Number, vm);
}

// The VMs of the wave that are still to be taken down. Those that are switched
// off or run nothing come first, as their maintenance interrupts no work.
std::vector<VmId>
MaintenanceScheduler::candidatesOf(const WaveRecord &wave) const {
  std::vector<std::pair<int64_t, VmId>> ranked;
  const auto taken_down = vmsTakenDown();
  for (const auto &vm : wave.Vms) {
    if (wave.Finished.contains(vm) || taken_down.contains(vm))
      continue;
    const VmLoad load = Hooks.LoadOf(vm);
    const int64_t runs = load.ShortRuns + load.LongRuns;
    const bool off = load.Incarnation.Id.empty();
    // A VM that is being drained stays first in the order.
    ranked.emplace_back(Reserved.contains(vm) || off ? -1 : runs, vm);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<VmId> out;
  out.reserve(ranked.size());
  for (const auto &[rank, vm] : ranked)
    out.push_back(vm);
  return out;
}

void MaintenanceScheduler::drainAndTakeDown(const WaveRecord &wave,
                                            int64_t free_slots,
                                            const VmPredicate &is_moving) {
  const auto now = Hooks.Now();
  for (const auto &vm : candidatesOf(wave)) {
    if (!List.find(vm)) {
      if (List.wasReadSince(now - MaxListAge))
        finish(wave.Number, vm, "the VM is not in the fleet");
      else
        List.refresh();
      continue;
    }
    if (free_slots <= 0 || is_moving(vm) || !Hooks.MayOrder(vm))
      continue;
    const VmLoad load = Hooks.LoadOf(vm);
    if (!load.Reachable) {
      if (Reserved.erase(vm) > 0)
        Hooks.Reserve(vm, false);
      continue;
    }
    --free_slots;
    const auto [reserved, added] = Reserved.try_emplace(vm, now);
    if (added)
      Hooks.Reserve(vm, true);
    if (!load.WithinBudget) {
      Hooks.Evacuate(vm);
      continue;
    }
    if (load.ShortRuns > 0 && now - reserved->second < MaxDrainTime)
      continue;
    if (isWithinLimits(vm))
      startOutage(wave, vm, load);
  }
}

bool MaintenanceScheduler::isWithinLimits(const VmId &vm) const {
  const auto taken_down = vmsTakenDown();
  return std::all_of(
      Ledger.Waves.begin(), Ledger.Waves.end(), [&](const auto &row) {
        const auto &[number, wave] = row;
        const bool concerned =
            !wave.isCompleted() &&
            std::find(wave.Vms.begin(), wave.Vms.end(), vm) != wave.Vms.end();
        return !concerned || countOf(wave, taken_down) < wave.UpperLimit;
      });
}

void MaintenanceScheduler::startOutage(const WaveRecord &wave, const VmId &vm,
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
                 Outages[vm] = Outage{.Wave = number,
                                      .AtStart = load.Incarnation,
                                      .AtLastOrder = load.Incarnation};
                 sendOrder(number, vm);
               });
}

void MaintenanceScheduler::sendOrder(int64_t wave, const VmId &vm) {
  Outage &outage = Outages.at(vm);
  outage.OrderedAt = Hooks.Now();
  outage.CallPending = true;
  Hooks.Log("maintenance of vm " + vm.str() + " for wave " +
            std::to_string(wave) + " ordered");
  VmOrder order;
  order.Vm = vm;
  order.Wave = wave;
  order.Holder = Options.Holder;
  order.Epoch = Epoch;
  Hooks.OrderVm(
      order, [this, wave, vm, generation = Generation](VmOrderResult result) {
        if (generation == Generation)
          onOrderResult(wave, vm, result);
      });
}

void MaintenanceScheduler::onOrderResult(int64_t wave, const VmId &vm,
                                         VmOrderResult result) {
  Outage &outage = Outages.at(vm);
  outage.CallPending = false;
  switch (result) {
  case VmOrderResult::Accepted:
    outage.Accepted = true;
    outage.AcceptedAt = Hooks.Now();
    outage.AtAcceptance = Hooks.LoadOf(vm).Incarnation;
    // A later incarnation may not be affected: the maintenance may have been
    // over when this order was sent.
    if (!outage.AtStart.Id.empty() && outage.AtStart == outage.AtLastOrder)
      Hooks.RecordEnded(outage.AtStart);
    return;
  case VmOrderResult::Busy:
    Hooks.Log("maintenance of vm " + vm.str() + " for wave " +
              std::to_string(wave) + " rejected: the VM is busy; will retry");
    outage.OrderedAt = Hooks.Now() + BusyRetryDelay;
    List.refresh();
    return;
  case VmOrderResult::Refused:
    finish(wave, vm, "the VM service refused the order");
    return;
  case VmOrderResult::Withheld:
    // The runs no longer count as missing, unless an earlier order may still be
    // carried out.
    Hooks.SetTerminating(vm, outage.OutcomeUnknown);
    return;
  case VmOrderResult::Fenced:
  case VmOrderResult::Throttled:
  case VmOrderResult::NoAnswer:
    outage.OutcomeUnknown =
        outage.OutcomeUnknown || result == VmOrderResult::NoAnswer;
    Hooks.Log("maintenance of vm " + vm.str() + " for wave " +
              std::to_string(wave) + " not confirmed (" +
              unconfirmedReason(result) + "); will retry");
    return;
  }
}

void MaintenanceScheduler::finish(int64_t wave, const VmId &vm,
                                  const char *why) {
  if (!Recording.insert(vm).second)
    return;
  Hooks.Log("maintenance of vm " + vm.str() + " for wave " +
            std::to_string(wave) + " finished: " + why);
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
