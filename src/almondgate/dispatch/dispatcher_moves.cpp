#include "almondgate/dispatch/dispatcher.hpp"

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

// Adds the serving endpoints of a pool to its balance, and returns those whose
// VMs run no long-running tasks.
std::vector<const EndpointView *>
Dispatcher::countServing(const PoolId &pool, policy::PoolBalance &balance) {
  std::vector<const EndpointView *> movable;
  const auto *members = Pools.members(pool);
  if (!members)
    return movable;
  balance.Usable = Pools.servingMilliCpus(pool);
  for (const auto &[id, endpoint] : *members) {
    // Tells how many VMs a pool needs that has none outside evacuated zones.
    if (isEvacuated(*endpoint))
      balance.PerVm =
          std::max(balance.PerVm, endpoint->Facts.Capacity.MilliCpus);
    if (!endpoint->Share.Serving)
      continue;
    ++balance.Vms;
    balance.PerVm = std::max(balance.PerVm, endpoint->Facts.Capacity.MilliCpus);
    if (endpoint->LongRunningCount == 0 && !endpoint->Facts.Vm.empty())
      movable.push_back(endpoint);
  }
  return movable;
}

std::vector<PoolDemand> Dispatcher::poolDemands() {
  std::map<PoolId, PoolDemand> pools;
  for (const auto &pool : Ledger.Config.Pools)
    if (!pool.Spare)
      pools[pool.Id].Balance.Pool = pool.Id;
  updateLoads();
  std::vector<PoolDemand> out;
  for (auto &[id, demand] : pools) {
    auto vms = countServing(id, demand.Balance);
    const auto *load = Loads.find(id);
    int64_t wanted = load ? load->DemandMilliCpus : 0;
    if (load)
      for (const auto &[job_id, job] : load->Waiting)
        wanted -= unplaceableDemand(*job);
    demand.Balance.Wanted = forecastDemand(id, wanted);
    demand.Balance.Late = std::min(lateDemand(id), demand.Balance.Wanted);
    demand.Balance.MinVms = std::max(MinVmsPerPool, load ? load->minVms() : 0);
    demand.Balance.DemandKnown = Arrivals.contains(id);
    std::sort(vms.begin(), vms.end(), [](const auto *a, const auto *b) {
      const size_t a_runs = a->Runs.size();
      const size_t b_runs = b->Runs.size();
      return a_runs != b_runs ? a_runs < b_runs : a->Facts.Vm < b->Facts.Vm;
    });
    for (const auto *endpoint : vms)
      demand.Movable.push_back(endpoint->Facts.Vm);
    out.push_back(std::move(demand));
  }
  return out;
}

// The part of a pool's demand that comes from jobs past their due time. Not
// that of long-running work: it gives way to no other, however late it is.
int64_t Dispatcher::lateDemand(const PoolId &pool) const {
  const auto *load = Loads.find(pool);
  if (!load)
    return 0;
  int64_t late = 0;
  for (const auto &[id, job] : load->Open)
    if (job->Due < Hooks.Now() && !policy::hasLongRunning(*job->Record->Spec))
      late += demandOf(*job) - unplaceableDemand(*job);
  return late;
}

int64_t Dispatcher::unplaceableDemand(const OpenJob &job) const {
  int64_t demand = 0;
  for (size_t step = 0; step < job.Steps.size(); ++step)
    if (!fitsAnyVm(job.stepOf(job.Steps[step].First)))
      demand += demandOf(job, step);
  return demand;
}

// How long the oldest job waits of which no task has been started.
DurationMs Dispatcher::longestWait(const PoolId &pool) const {
  DurationMs longest;
  const auto *load = Loads.find(pool);
  if (!load)
    return longest;
  for (const auto &[id, job] : load->Waiting)
    if (!job->Started && job->Record->Spec->Repetitions == 0)
      longest = std::max(longest, Hooks.Now() - job->SentAt);
  return longest;
}

std::string Dispatcher::describeDemand(const PoolDemand &demand) const {
  const auto &balance = demand.Balance;
  int64_t pinned = 0;
  int64_t reserved = 0;
  if (const auto *members = Pools.members(balance.Pool))
    for (const auto &[id, endpoint] : *members) {
      pinned += endpoint->LongRunningCount > 0 ? 1 : 0;
      reserved += endpoint->Reserved ? 1 : 0;
    }
  const auto found = Admissions.find(balance.Pool);
  const AdmissionCounts counts =
      found == Admissions.end() ? AdmissionCounts() : found->second;
  return balance.Pool.str() + " " +
         std::to_string(balance.Usable / MilliCpusPerCore) + "/" +
         std::to_string(balance.Wanted / MilliCpusPerCore) + " (" +
         std::to_string(balance.Late / MilliCpusPerCore) + " late) on " +
         std::to_string(balance.Vms) + "+" +
         std::to_string(Mover.incoming(balance.Pool)) + ", " +
         std::to_string(pinned) + " with long-running tasks, " +
         std::to_string(reserved) + " reserved, jobs " +
         std::to_string(counts.Accepted) + " accepted " +
         std::to_string(counts.Refused) + " refused, longest wait " +
         std::to_string(longestWait(balance.Pool).Count) + " ms;";
}

void Dispatcher::logDemands(const std::vector<PoolDemand> &demands) {
  const auto now = Hooks.Now();
  if (now < DemandLogDue)
    return;
  DemandLogDue = now + DemandLogInterval;
  std::string line = "pools, usable/wanted cores on present+incoming VMs:";
  for (const auto &demand : demands)
    line += " " + describeDemand(demand);
  Hooks.Log(line + " spare VMs: " + std::to_string(Mover.spare()));
  Admissions.clear();
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
