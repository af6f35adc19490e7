#include "almondgate/policy/vm_balance.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

constexpr int64_t Hundred = 100;

int64_t targetOf(const PoolBalance &pool, const MoveOptions &rules) {
  return pool.Wanted + pool.Wanted * rules.HeadroomPercent / Hundred;
}

int64_t shortageOf(const PoolBalance &pool, const MoveOptions &rules) {
  if (pool.Spare)
    return 0;
  const int64_t coming = pool.PerVm > 0 ? pool.Incoming / pool.PerVm : 0;
  const int64_t few = pool.MinVms - pool.Vms - coming;
  return std::max(targetOf(pool, rules) - pool.Usable - pool.Incoming,
                  few * std::max<int64_t>(pool.PerVm, 1));
}

// The part of its wish that a pool lacks: when there is not enough for all,
// each gets the same part.
double missingPart(const PoolBalance &pool, const MoveOptions &rules) {
  const int64_t target = std::max<int64_t>(targetOf(pool, rules), pool.PerVm);
  return double(shortageOf(pool, rules)) / double(std::max<int64_t>(target, 1));
}

// VMs that a working pool can do without.
int64_t surplusOf(const PoolBalance &pool, const MoveOptions &rules) {
  if (pool.Spare)
    return pool.Movable;
  if (pool.PerVm <= 0)
    return 0;
  const int64_t idle = (pool.Usable - targetOf(pool, rules)) / pool.PerVm;
  const int64_t above = pool.Vms - pool.MinVms;
  return std::clamp<int64_t>(std::min(idle, above), 0, pool.Movable);
}

PoolBalance *bestGiver(std::vector<PoolBalance> &pools,
                       const MoveOptions &rules) {
  PoolBalance *best = nullptr;
  for (auto &pool : pools) {
    const int64_t surplus = surplusOf(pool, rules);
    if (surplus <= 0)
      continue;
    const bool better =
        !best || (pool.Spare && !best->Spare) ||
        (pool.Spare == best->Spare && surplus > surplusOf(*best, rules));
    if (better)
      best = &pool;
  }
  return best;
}

PoolBalance *worstOff(std::vector<PoolBalance> &pools,
                      const MoveOptions &rules) {
  PoolBalance *worst = nullptr;
  for (auto &pool : pools) {
    if (shortageOf(pool, rules) <= 0)
      continue;
    if (!worst || missingPart(pool, rules) > missingPart(*worst, rules))
      worst = &pool;
  }
  return worst;
}

void take(PoolBalance &giver) {
  --giver.Movable;
  giver.Usable -= giver.Spare ? 0 : giver.PerVm;
  --giver.Vms;
}

} // namespace

std::vector<PlannedMove> planMoves(std::vector<PoolBalance> pools,
                                   const MoveOptions &rules) {
  std::vector<PlannedMove> out;
  while (auto *taker = worstOff(pools, rules)) {
    auto *giver = bestGiver(pools, rules);
    if (!giver)
      break;
    out.push_back({giver->Pool, taker->Pool});
    taker->Incoming += giver->PerVm;
    take(*giver);
  }
  const auto spare =
      std::find_if(pools.begin(), pools.end(),
                   [](const PoolBalance &pool) { return pool.Spare; });
  if (spare == pools.end())
    return out;
  for (auto &pool : pools)
    while (!pool.Spare &&
           pool.Surplus >= (pool.DemandKnown
                                ? rules.SurplusBeforeParking
                                : rules.SurplusBeforeParkingUnknownDemand) &&
           surplusOf(pool, rules) > 0) {
      out.push_back({pool.Pool, spare->Pool});
      take(pool);
    }
  return out;
}

} // namespace almondgate::policy
