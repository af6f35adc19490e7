#ifndef ALMONDGATE_POLICY_FAIR_SHARE_HPP
#define ALMONDGATE_POLICY_FAIR_SHARE_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace almondgate::policy {

/// State of a team that competes for the next slot of a pool.
struct TeamLoad {
  core::TeamId Team;
  /// Weight of the team relative to the others.
  int64_t Share = 1;
  /// Fraction of the pool that the team uses, of the resource of which it uses
  /// the largest fraction.
  double DominantFraction = 0;
  /// Number of running requests, and its limit.
  int64_t Running = 0;
  int64_t MaxRunning = 0;
  /// Whether urgent requests of the team wait.
  bool HasUrgent = false;
  /// Arrival time of its oldest waiting request, in milliseconds.
  int64_t OldestMs = 0;

  bool operator==(const TeamLoad &) const = default;
};

/// Returns the teams that may start a request, in the order in which they get
/// the next slot.
using TeamOrder =
    std::function<std::vector<core::TeamId>(const std::vector<TeamLoad> &)>;

/// Orders teams with waiting requests: first those with urgent requests that
/// use less than their entitlement, then by weighted max-min fairness over the
/// dominant resource, then by the age of the oldest request. Teams at their
/// limit are omitted. Source: Ghodsi et al., Dominant Resource Fairness, NSDI
/// 2011.
std::vector<core::TeamId> teamOrder(const std::vector<TeamLoad> &waiting);

} // namespace almondgate::policy

#endif
