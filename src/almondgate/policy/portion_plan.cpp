#include "almondgate/policy/portion_plan.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

// Added to the demand of a pool with waiting requests, so that the next
// requests need no further change of the portion.
constexpr int64_t GrowAhead = 2;

int64_t wanted(const PoolClaim &claim) {
  const int64_t demand = claim.Running + claim.Waiting;
  return claim.Waiting > 0 ? demand + GrowAhead : demand;
}

// Max-min fair portions of the limit; no pool gets more than it wants.
std::vector<int64_t> fairTargets(int64_t limit,
                                 const std::vector<PoolClaim> &claims) {
  std::vector<int64_t> out(claims.size(), 0);
  std::vector<size_t> open(claims.size());
  for (size_t i = 0; i < open.size(); ++i)
    open[i] = i;
  std::sort(open.begin(), open.end(), [&](size_t a, size_t b) {
    return wanted(claims[a]) < wanted(claims[b]);
  });
  int64_t left = limit;
  auto pools = int64_t(open.size());
  for (const size_t i : open) {
    out[i] = std::min(wanted(claims[i]), left / pools);
    left -= out[i];
    --pools;
  }
  return out;
}

} // namespace

PortionPlan planPortions(int64_t limit, const std::vector<PoolClaim> &claims) {
  PortionPlan plan;
  const auto targets = fairTargets(limit, claims);
  int64_t free = limit;
  int64_t needed = 0;
  for (size_t i = 0; i < claims.size(); ++i) {
    free -= claims[i].Portion;
    needed += std::max<int64_t>(0, targets[i] - claims[i].Portion);
  }
  int64_t unmet = needed;
  for (size_t i = 0; i < claims.size(); ++i) {
    const int64_t now = claims[i].Portion;
    const int64_t step = std::min(targets[i] - now, free);
    if (step <= 0)
      continue;
    plan.Grow.push_back({claims[i].Pool, now, now + step});
    free -= step;
    unmet -= step;
  }
  for (size_t i = 0; i < claims.size() && unmet > 0; ++i) {
    const int64_t now = claims[i].Portion;
    const int64_t step = std::min(now - targets[i], unmet);
    if (step <= 0)
      continue;
    plan.Return.push_back({claims[i].Pool, now, now - step});
    unmet -= step;
  }
  return plan;
}

} // namespace almondgate::policy
