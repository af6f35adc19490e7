#ifndef ALMONDGATE_DISPATCH_LATE_START_HPP
#define ALMONDGATE_DISPATCH_LATE_START_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>

namespace almondgate::dispatch {

/// A start order for a task that got no answer. The incarnation that received
/// it may carry it out until it has seen a higher fencing token or its lease
/// expires; no incarnation receives it once its connection was reset.
struct LateStart {
  jobs::EndpointId Endpoint;
  /// The run that was ordered; 0 if an earlier leader ordered it.
  int64_t Run = 0;
  /// Fencing token of the order; 0 if an earlier leader gave it.
  uint64_t Fence = 0;
  /// When the order was given up and its connection reset, at the latest.
  core::TimeMs Since;

  bool operator==(const LateStart &) const = default;
};

} // namespace almondgate::dispatch

#endif
