#ifndef ALMONDGATE_POLICY_FAIR_SHARE_HPP
#define ALMONDGATE_POLICY_FAIR_SHARE_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace almondgate::policy {

/// A team's part in the contest for the next slot of a pool.
struct TeamLoad {
  core::TeamId Team;
  int64_t Share = 1;
  /// Fraction of the pool's dominant resource that the team holds.
  double DominantFraction = 0;
  /// Requests running, and how many may run.
  int64_t Running = 0;
  int64_t MaxRunning = 0;
  bool HasUrgent = false;
  /// Arrival of its oldest request, in milliseconds.
  int64_t OldestMs = 0;

  bool operator==(const TeamLoad &) const = default;
};

/// Puts the teams that may start something in the order of their turn.
using TeamOrder =
    std::function<std::vector<core::TeamId>(const std::vector<TeamLoad> &)>;

/// The order in which teams with waiting work get the next slot: those with
/// urgent work inside their entitlement, then by weighted max-min over the
/// dominant resource, then by age. Teams at their limit are left out.
/// Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
std::vector<core::TeamId> teamOrder(const std::vector<TeamLoad> &waiting);

} // namespace almondgate::policy

#endif
