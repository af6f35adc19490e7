#ifndef ALMONDGATE_CONTROL_CONTROL_OPTIONS_HPP
#define ALMONDGATE_CONTROL_CONTROL_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"

#include <cstddef>
#include <cstdint>

namespace almondgate::control {

/// Settings of a ControlCore.
struct ControlOptions {
  /// A watch without updates is answered after this time.
  core::DurationMs WatchTimeout{400};
  /// How long a placer's lease lasts after a heartbeat.
  core::DurationMs LeaseTtl{3000};
  /// Added to LeaseTtl before a lease counts as expired, because the clocks of
  /// two processes may run at different rates.
  core::DurationMs LeaseMargin{300};
  /// How often the leader plans owners, waves, portions and the membership.
  core::DurationMs PlanningInterval{50};
  /// How long records of non-idempotent requests are kept.
  int64_t IntentTtlMs = int64_t{15} * 60 * 1000;
  /// Number of applied entries after which a snapshot is taken.
  uint64_t EntriesPerSnapshot = 4096;
  /// Updates kept in memory, so that a watcher that lags receives deltas
  /// instead of a snapshot.
  size_t MaxRetainedUpdates = 20000;

  /// Number of voters that the leader maintains; 0 leaves the membership to
  /// operators.
  size_t Voters = 0;
  /// How long a leader may act after a quorum last confirmed it. Shorter than
  /// the minimum election timeout, so that no other member leads meanwhile.
  core::DurationMs LeaderLease{400};

  bool operator==(const ControlOptions &) const = default;
};

} // namespace almondgate::control

#endif
