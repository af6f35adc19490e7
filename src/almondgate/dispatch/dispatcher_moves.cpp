#include "almondgate/dispatch/dispatcher.hpp"

#include "need.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::PoolId;

namespace {

// Arrivals are counted over this time to see a burst begin.
constexpr DurationMs ArrivalWindow{400};
// The trend of a pool's demand is taken over this time.
constexpr DurationMs TrendWindow{600};
constexpr DurationMs ShortestTrend{300};
// What waits now bounds how far arrivals are trusted.
constexpr int64_t GrowthBound = 3;
// A pool without work keeps this many VMs, so that the first job can start.
constexpr int64_t FewestOfPool = 2;
constexpr DurationMs DemandLogInterval{1000};
constexpr int64_t MilliCpusOfCore = 1000;

} // namespace

void Dispatcher::noteArrival(const PoolId &pool, int64_t work) {
  Arrivals[pool].emplace_back(Hooks.Now(), work);
}

// Work that arrived lately, as a rate in thousandths of a core.
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

// Where the demand will be when a VM that is ordered now is there.
int64_t Dispatcher::forecast(const PoolId &pool, int64_t waiting) {
  const int64_t most = waiting * GrowthBound;
  const int64_t wanted = std::max(waiting, std::min(arrivalRate(pool), most));
  const auto now = Hooks.Now();
  auto &history = Trends[pool];
  while (!history.empty() && history.front().first < now - TrendWindow)
    history.pop_front();
  history.emplace_back(now, wanted);
  const auto &[since, before] = history.front();
  const int64_t passed = (now - since).Count;
  if (passed < ShortestTrend.Count || wanted <= before)
    return wanted;
  const int64_t growth = (wanted - before) * Options.Move.Count / passed;
  return std::min(wanted + growth, wanted * GrowthBound);
}

std::map<PoolId, int64_t> Dispatcher::wantedByPool() {
  std::map<PoolId, int64_t> out;
  for (const auto &[id, job] : Open) {
    const auto *record = job.Record;
    if (!record->isOpen() || record->Spec->Repetitions > 0)
      continue;
    size_t at = 0;
    for (size_t s = 0; s < record->Spec->Steps.size(); ++s) {
      const auto &step = record->Spec->Steps[s];
      const bool counts =
          !step.Fills && jobs::isStepReady(*record, 0, int64_t(s));
      for (int64_t i = 0; i < step.Count; ++i, ++at) {
        const TaskSlot &slot = job.Tasks[at];
        // What is long-running and placed is not counted as room either.
        const bool wants = slot.Phase == TaskPhase::Waiting ||
                           (slot.isPlaced() && !step.LongRunning);
        if (counts && wants)
          out[job.Pool] += step.Need.MilliCpus;
      }
    }
  }
  return out;
}

// Long-running steps are spread so that the loss of one VM keeps to their
// budget.
std::map<PoolId, int64_t> Dispatcher::fewestVms() const {
  std::map<PoolId, int64_t> out;
  for (const auto &[id, job] : Open) {
    const auto *record = job.Record;
    if (!record->isOpen())
      continue;
    for (const auto &step : record->Spec->Steps) {
      if (!step.LongRunning)
        continue;
      const int64_t together = policy::lastingStepCap(step.Count, step.MayMiss);
      int64_t &fewest = out[job.Pool];
      fewest = std::max(fewest, (step.Count + together - 1) / together);
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
    if (it == pools.end() || !endpoint.serves())
      continue;
    const bool pinned = endpoint.LongRuns > 0;
    auto &balance = it->second.Balance;
    ++balance.Vms;
    balance.Usable +=
        endpoint.Facts.Capacity.MilliCpus - endpoint.LongMilliCpus;
    balance.PerVm = std::max(balance.PerVm, endpoint.Facts.Capacity.MilliCpus);
    PerVmMilliCpus = std::max(PerVmMilliCpus, balance.PerVm);
    if (!pinned && !endpoint.Facts.Vm.empty())
      movable[it->first].emplace_back(endpoint.Runs.size(), endpoint.Facts.Vm);
  }
  const auto wanted = wantedByPool();
  const auto fewest = fewestVms();
  std::vector<PoolDemand> out;
  for (auto &[id, demand] : pools) {
    const auto found = wanted.find(id);
    const int64_t now = found == wanted.end() ? 0 : found->second;
    demand.Balance.Wanted = forecast(id, now);
    const auto least = fewest.find(id);
    demand.Balance.FewestVms =
        std::max(FewestOfPool, least == fewest.end() ? 0 : least->second);
    demand.Balance.Seen = Arrivals.contains(id);
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
  std::string line = "pools have/want cores:";
  for (const auto &demand : demands) {
    const auto &balance = demand.Balance;
    line += " " + balance.Pool.str() + " " +
            std::to_string(balance.Usable / MilliCpusOfCore) + "/" +
            std::to_string(balance.Wanted / MilliCpusOfCore) + " on " +
            std::to_string(balance.Vms) + "+" +
            std::to_string(Mover.incoming(balance.Pool)) + " VMs,";
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
  // Without a spare pool, VMs still go where the demand is.
  Mover.run(demands, spare, Upkeep.vmsInMaintenance());
}

} // namespace almondgate::dispatch
