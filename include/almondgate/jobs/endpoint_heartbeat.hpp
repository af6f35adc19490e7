#ifndef ALMONDGATE_JOBS_ENDPOINT_HEARTBEAT_HPP
#define ALMONDGATE_JOBS_ENDPOINT_HEARTBEAT_HPP

#include "almondgate/jobs/endpoint_facts.hpp"

namespace almondgate::jobs {

/// An endpoint's announcement of itself.
struct EndpointHeartbeat {
  EndpointFacts Facts;
  /// Rises with each heartbeat of one life, so that a late one is told.
  int64_t Sequence = 0;

  bool operator==(const EndpointHeartbeat &) const = default;
};

} // namespace almondgate::jobs

#endif
