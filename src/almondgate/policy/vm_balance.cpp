#include "almondgate/policy/vm_balance.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

constexpr int64_t Hundred = 100;

int64_t targetOf(const PoolBalance &pool, const MoveOptions &options) {
  return pool.Wanted + pool.Wanted * options.HeadroomPercent / Hundred;
}

int64_t shortageOf(const PoolBalance &pool, const MoveOptions &options) {
  if (pool.Spare)
    return 0;
  const int64_t incoming = pool.PerVm > 0 ? pool.Incoming / pool.PerVm : 0;
  const int64_t missing_vms = pool.MinVms - pool.Vms - incoming;
  return std::max(targetOf(pool, options) - pool.Usable - pool.Incoming,
                  missing_vms * std::max<int64_t>(pool.PerVm, 1));
}

// Fraction of its target that a pool lacks. The pool with the largest fraction
// is served first, so that a shortage is divided in proportion to the targets.
double missingFraction(const PoolBalance &pool, const MoveOptions &options) {
  const int64_t target = std::max<int64_t>(targetOf(pool, options), pool.PerVm);
  return double(shortageOf(pool, options)) /
         double(std::max<int64_t>(target, 1));
}

// Number of VMs that a pool can give away.
int64_t surplusOf(const PoolBalance &pool, const MoveOptions &options) {
  if (pool.Spare)
    return pool.Movable;
  if (pool.PerVm <= 0)
    return 0;
  const int64_t idle = (pool.Usable - targetOf(pool, options)) / pool.PerVm;
  const int64_t above = pool.Vms - pool.MinVms;
  return std::clamp<int64_t>(std::min(idle, above), 0, pool.Movable);
}

// The pool to take the next VM from, or null: the spare pool first, then the
// pool with the largest surplus.
PoolBalance *chooseDonor(std::vector<PoolBalance> &pools,
                         const MoveOptions &options) {
  PoolBalance *best = nullptr;
  for (auto &pool : pools) {
    const int64_t surplus = surplusOf(pool, options);
    if (surplus <= 0)
      continue;
    const bool better =
        !best || (pool.Spare && !best->Spare) ||
        (pool.Spare == best->Spare && surplus > surplusOf(*best, options));
    if (better)
      best = &pool;
  }
  return best;
}

// The pool that lacks the largest fraction of its target, or null.
PoolBalance *chooseRecipient(std::vector<PoolBalance> &pools,
                             const MoveOptions &options) {
  PoolBalance *worst = nullptr;
  for (auto &pool : pools) {
    if (shortageOf(pool, options) <= 0)
      continue;
    if (!worst ||
        missingFraction(pool, options) > missingFraction(*worst, options))
      worst = &pool;
  }
  return worst;
}

void removeVm(PoolBalance &donor) {
  --donor.Movable;
  donor.Usable -= donor.Spare ? 0 : donor.PerVm;
  --donor.Vms;
}

void fillShortages(std::vector<PoolBalance> &pools, const MoveOptions &options,
                   std::vector<PlannedMove> &out) {
  while (auto *recipient = chooseRecipient(pools, options)) {
    auto *donor = chooseDonor(pools, options);
    if (!donor)
      break;
    out.push_back({donor->Pool, recipient->Pool});
    recipient->Incoming += donor->PerVm;
    removeVm(*donor);
  }
}

} // namespace

std::vector<PlannedMove> planMoves(std::vector<PoolBalance> pools,
                                   const MoveOptions &options) {
  std::vector<PlannedMove> out;
  fillShortages(pools, options, out);
  std::vector<PoolBalance> in_time = pools;
  for (auto &pool : in_time)
    pool.Wanted -= pool.Late;
  fillShortages(in_time, options, out);
  for (size_t i = 0; i < pools.size(); ++i) {
    in_time[i].Wanted = pools[i].Wanted;
    pools[i] = in_time[i];
  }
  const auto spare =
      std::find_if(pools.begin(), pools.end(),
                   [](const PoolBalance &pool) { return pool.Spare; });
  if (spare == pools.end())
    return out;
  for (auto &pool : pools)
    while (!pool.Spare &&
           pool.Surplus >= (pool.DemandKnown
                                ? options.SurplusBeforeParking
                                : options.SurplusBeforeParkingUnknownDemand) &&
           surplusOf(pool, options) > 0) {
      out.push_back({pool.Pool, spare->Pool});
      removeVm(pool);
    }
  return out;
}

} // namespace almondgate::policy
