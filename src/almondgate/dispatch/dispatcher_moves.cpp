#include "almondgate/dispatch/dispatcher.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::PoolId;

namespace {

// The arrival rate is taken over this time, to detect the start of a burst.
constexpr DurationMs ArrivalWindow{400};
// The trend of a pool's demand is taken over this time, once its history covers
// at least the second one.
constexpr DurationMs TrendWindow{600};
constexpr DurationMs MinTrendTime{300};
// Demand is at most this many times the waiting work, and its forecast at most
// this many times the demand, however fast jobs arrive.
constexpr int64_t MaxGrowthFactor = 3;
// A pool without work keeps this many VMs, so that its first job can start.
constexpr int64_t MinVmsPerPool = 2;
constexpr DurationMs DemandLogInterval{1000};
constexpr int64_t MilliCpusPerCore = 1000;

} // namespace

void Dispatcher::recordArrival(const PoolId &pool, int64_t work) {
  Arrivals[pool].emplace_back(Hooks.Now(), work);
}

// Returns the rate of recently submitted work, in millicores.
int64_t Dispatcher::arrivalRate(const PoolId &pool) {
  const auto found = Arrivals.find(pool);
  if (found == Arrivals.end())
    return 0;
  auto &arrivals = found->second;
  const auto from = Hooks.Now() - ArrivalWindow;
  while (!arrivals.empty() && arrivals.front().first < from)
    arrivals.pop_front();
  int64_t work = 0;
  for (const auto &[at, amount] : arrivals)
    work += amount;
  return work / ArrivalWindow.Count;
}

// Returns the demand that is expected when a VM that is ordered now arrives.
int64_t Dispatcher::forecastDemand(const PoolId &pool, int64_t waiting) {
  const int64_t most = waiting * MaxGrowthFactor;
  const int64_t wanted = std::max(waiting, std::min(arrivalRate(pool), most));
  const auto now = Hooks.Now();
  auto &history = DemandHistory[pool];
  while (!history.empty() && history.front().first < now - TrendWindow)
    history.pop_front();
  history.emplace_back(now, wanted);
  const auto &[since, before] = history.front();
  const int64_t passed = (now - since).Count;
  if (passed < MinTrendTime.Count || wanted <= before)
    return wanted;
  const int64_t growth =
      (wanted - before) * Options.MoveDuration.Count / passed;
  return std::min(wanted + growth, wanted * MaxGrowthFactor);
}

std::map<PoolId, int64_t> Dispatcher::demandByPool() {
  std::map<PoolId, int64_t> out;
  for (const auto &[id, job] : OpenJobs) {
    const auto *record = job.Record;
    if (!record->isOpen() || record->Spec->Repetitions > 0)
      continue;
    size_t at = 0;
    for (size_t s = 0; s < record->Spec->Steps.size(); ++s) {
      const auto &step = record->Spec->Steps[s];
      const bool counts =
          !step.Fills && jobs::isStepReady(*record, 0, int64_t(s));
      for (int64_t i = 0; i < step.Count; ++i, ++at) {
        const TaskState &state = job.Tasks[at];
        // Placed long-running tasks are left out: the capacity that they occupy
        // is not counted as usable either.
        const bool needs_capacity = state.Phase == TaskPhase::Waiting ||
                                    (state.isPlaced() && !step.LongRunning);
        if (counts && needs_capacity)
          out[job.pool()] += step.Need.MilliCpus;
      }
    }
  }
  return out;
}

// Returns the VMs needed to spread long-running steps, so that the loss of one
// VM keeps to their availability budgets.
std::map<PoolId, int64_t> Dispatcher::minVmsByPool() const {
  std::map<PoolId, int64_t> out;
  for (const auto &[id, job] : OpenJobs) {
    const auto *record = job.Record;
    if (!record->isOpen())
      continue;
    for (const auto &step : record->Spec->Steps) {
      if (!step.LongRunning)
        continue;
      const int64_t per_vm =
          policy::maxTasksPerEndpoint(step.Count, step.MayMiss);
      int64_t &min_vms = out[job.pool()];
      min_vms = std::max(min_vms, (step.Count + per_vm - 1) / per_vm);
    }
  }
  return out;
}

std::vector<PoolDemand> Dispatcher::poolDemands() {
  std::map<PoolId, PoolDemand> pools;
  for (const auto &pool : Ledger.Config.Pools)
    if (!pool.Spare)
      pools[pool.Id].Balance.Pool = pool.Id;
  std::map<PoolId, std::vector<std::pair<size_t, core::VmId>>> movable;
  for (const auto &[id, endpoint] : Endpoints) {
    const auto it = pools.find(endpoint.Facts.Pool);
    if (it == pools.end())
      continue;
    auto &balance = it->second.Balance;
    // Tells how many VMs a pool needs that has none outside evacuated zones.
    if (isEvacuated(endpoint))
      balance.PerVm =
          std::max(balance.PerVm, endpoint.Facts.Capacity.MilliCpus);
    if (!isAvailable(endpoint))
      continue;
    const bool pinned = endpoint.LongRunningCount > 0;
    ++balance.Vms;
    balance.Usable +=
        endpoint.Facts.Capacity.MilliCpus - endpoint.LongRunningMilliCpus;
    balance.PerVm = std::max(balance.PerVm, endpoint.Facts.Capacity.MilliCpus);
    LargestVmMilliCpus = std::max(LargestVmMilliCpus, balance.PerVm);
    if (!pinned && !endpoint.Facts.Vm.empty())
      movable[it->first].emplace_back(endpoint.Runs.size(), endpoint.Facts.Vm);
  }
  const auto wanted = demandByPool();
  const auto min_vms = minVmsByPool();
  std::vector<PoolDemand> out;
  for (auto &[id, demand] : pools) {
    const auto found = wanted.find(id);
    const int64_t now = found == wanted.end() ? 0 : found->second;
    demand.Balance.Wanted = forecastDemand(id, now);
    const auto minimum = min_vms.find(id);
    demand.Balance.MinVms =
        std::max(MinVmsPerPool, minimum == min_vms.end() ? 0 : minimum->second);
    demand.Balance.DemandKnown = Arrivals.contains(id);
    auto &vms = movable[id];
    std::sort(vms.begin(), vms.end());
    for (const auto &[runs, vm] : vms)
      demand.Movable.push_back(vm);
    out.push_back(std::move(demand));
  }
  return out;
}

void Dispatcher::logDemands(const std::vector<PoolDemand> &demands) {
  const auto now = Hooks.Now();
  if (now < DemandLogDue)
    return;
  DemandLogDue = now + DemandLogInterval;
  std::string line = "pools, usable/wanted cores on present+incoming VMs:";
  for (const auto &demand : demands) {
    const auto &balance = demand.Balance;
    line += " " + balance.Pool.str() + " " +
            std::to_string(balance.Usable / MilliCpusPerCore) + "/" +
            std::to_string(balance.Wanted / MilliCpusPerCore) + " on " +
            std::to_string(balance.Vms) + "+" +
            std::to_string(Mover.incoming(balance.Pool)) + ",";
  }
  Hooks.Log(line);
}

void Dispatcher::balancePools() {
  std::set<PoolId> spare;
  for (const auto &pool : Ledger.Config.Pools)
    if (pool.Spare)
      spare.insert(pool.Id);
  const auto demands = poolDemands();
  logDemands(demands);
  // Without a spare pool, VMs still move between the working pools.
  Mover.run(demands, spare, Maintenance.vmsInMaintenance());
}

} // namespace almondgate::dispatch
