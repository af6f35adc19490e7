#ifndef ALMONDGATE_DISPATCH_NEAR_WAIT_HPP
#define ALMONDGATE_DISPATCH_NEAR_WAIT_HPP

#include "almondgate/core/time_ms.hpp"

namespace almondgate::dispatch {

/// The wait of one occurrence of a step for a nearby place. It begins once;
/// from then on the number of tasks that wait only falls. A gang counts as one
/// task.
struct NearWait {
  core::TimeMs Since;
  /// Tasks that wait now.
  int64_t Waiting = 0;
  /// Tasks that waited and were placed near.
  int64_t PlacedNear = 0;
  /// Tasks that waited and may start anywhere now.
  int64_t Left = 0;

  bool operator==(const NearWait &) const = default;
};

} // namespace almondgate::dispatch

#endif
