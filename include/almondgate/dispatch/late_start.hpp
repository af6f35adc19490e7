#ifndef ALMONDGATE_DISPATCH_LATE_START_HPP
#define ALMONDGATE_DISPATCH_LATE_START_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>

namespace almondgate::dispatch {

/// A start order for a task that got no answer. It may be carried out until the
/// endpoint has been read with a higher fencing token or MaxExecutionDelay is
/// over. Bytes that arrived before the connection was reset are still read,
/// also by the endpoint's next incarnation, whose clock starts anew: the run
/// then holds a lease that begins when the order is carried out.
struct LateStart {
  /// How long after a call was given up an endpoint may still carry it out.
  static constexpr core::DurationMs MaxExecutionDelay{12000};

  jobs::EndpointId Endpoint;
  /// The run that was ordered; 0 if an earlier leader ordered it.
  int64_t Run = 0;
  /// Fencing token of the order; 0 if an earlier leader gave it.
  uint64_t Fence = 0;
  /// When the order was given up and its connection reset, at the latest.
  core::TimeMs Since;
  /// When the order is carried out at the latest.
  core::TimeMs LastExecution;

  bool operator==(const LateStart &) const = default;
};

} // namespace almondgate::dispatch

#endif
