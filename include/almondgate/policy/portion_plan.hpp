#ifndef ALMONDGATE_POLICY_PORTION_PLAN_HPP
#define ALMONDGATE_POLICY_PORTION_PLAN_HPP

#include "almondgate/model/demand.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace almondgate::policy {

/// A pool's claim on a team's limit.
struct PoolClaim {
  core::PoolId Pool;
  int64_t Portion = 0;
  int64_t Running = 0;
  int64_t Waiting = 0;

  bool operator==(const PoolClaim &) const = default;
};

/// A portion to be changed.
struct PortionChange {
  core::PoolId Pool;
  int64_t From = 0;
  int64_t To = 0;

  bool operator==(const PortionChange &) const = default;
};

/// How a team's portions should move.
struct PortionPlan {
  /// To be done now, from what is not given out.
  std::vector<PortionChange> Grow;
  /// To be asked of the pools' owners.
  std::vector<PortionChange> Return;

  bool operator==(const PortionPlan &) const = default;
};

/// Moves a team's limit towards demand: each pool gets what it asks for, or
/// where the limit is short, a max-min fair part of it.
PortionPlan planPortions(int64_t limit, const std::vector<PoolClaim> &claims);

} // namespace almondgate::policy

#endif
