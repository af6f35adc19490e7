#ifndef ALMONDGATE_JOBS_ENDPOINT_HEARTBEAT_HPP
#define ALMONDGATE_JOBS_ENDPOINT_HEARTBEAT_HPP

#include "almondgate/jobs/endpoint_facts.hpp"

namespace almondgate::jobs {

/// Periodic announcement that an endpoint sends about itself.
struct EndpointHeartbeat {
  EndpointFacts Facts;
  /// Increases with each heartbeat of an incarnation, so that heartbeats that
  /// arrive out of order are detected.
  int64_t Sequence = 0;
  /// How long the endpoint remains slow after its start, in milliseconds; 0 if
  /// it is not slow or doesn't know. Not one of its properties, because these
  /// are recorded durably whenever they change.
  int64_t ColdRemainingMs = 0;

  bool operator==(const EndpointHeartbeat &) const = default;
};

} // namespace almondgate::jobs

#endif
