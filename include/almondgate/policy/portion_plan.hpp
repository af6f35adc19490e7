#ifndef ALMONDGATE_POLICY_PORTION_PLAN_HPP
#define ALMONDGATE_POLICY_PORTION_PLAN_HPP

#include "almondgate/model/demand.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace almondgate::policy {

/// Demand of a pool on a team's limit. A portion is the part of the limit that
/// is allocated to the pool.
struct PoolClaim {
  core::PoolId Pool;
  int64_t Portion = 0;
  int64_t Running = 0;
  int64_t Waiting = 0;

  bool operator==(const PoolClaim &) const = default;
};

/// A change of one portion.
struct PortionChange {
  core::PoolId Pool;
  int64_t From = 0;
  int64_t To = 0;

  bool operator==(const PortionChange &) const = default;
};

/// Changes of a team's portions.
struct PortionPlan {
  /// Increases from the unallocated part of the limit, to be made now.
  std::vector<PortionChange> Grow;
  /// Decreases to be requested from the owners of the pools.
  std::vector<PortionChange> Return;

  bool operator==(const PortionPlan &) const = default;
};

/// Reallocates a team's limit by demand. Each pool gets what it demands, or if
/// the limit is too small, a max-min fair part of it.
PortionPlan planPortions(int64_t limit, const std::vector<PoolClaim> &claims);

} // namespace almondgate::policy

#endif
