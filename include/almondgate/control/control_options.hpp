#ifndef ALMONDGATE_CONTROL_CONTROL_OPTIONS_HPP
#define ALMONDGATE_CONTROL_CONTROL_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"

#include <cstddef>
#include <cstdint>

namespace almondgate::control {

/// Settings of a ControlCore.
struct ControlOptions {
  /// How long a watch may wait for news.
  core::DurationMs WatchTimeout{400};
  /// How long a placer's lease lasts after its heartbeat.
  core::DurationMs LeaseTtl{3000};
  /// Added before a lapsed lease is acted on, for clocks of other speeds.
  core::DurationMs LeaseMargin{300};
  /// How often the leader looks at pools, waves and portions.
  core::DurationMs PlanningInterval{50};
  /// Records of non-idempotent requests are kept this long.
  int64_t IntentTtlMs = int64_t{15} * 60 * 1000;
  /// A snapshot is taken after this many applied entries.
  uint64_t EntriesPerSnapshot = 4096;
  /// Updates kept for watchers that lag a little.
  size_t MaxRetainedUpdates = 20000;

  /// Voters that the leader keeps by itself; 0 leaves that to operators.
  size_t Voters = 0;
  /// A leader acts on its own word for this long after a quorum followed it;
  /// shorter than any member's wait for a leader.
  core::DurationMs LeaderLease{400};

  bool operator==(const ControlOptions &) const = default;
};

} // namespace almondgate::control

#endif
