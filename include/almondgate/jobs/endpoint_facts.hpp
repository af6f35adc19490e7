#ifndef ALMONDGATE_JOBS_ENDPOINT_FACTS_HPP
#define ALMONDGATE_JOBS_ENDPOINT_FACTS_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/jobs/ids.hpp"

#include <string>
#include <vector>

namespace almondgate::jobs {

/// Properties that an endpoint reports about itself.
struct EndpointFacts {
  EndpointId Id;
  /// Start of this incarnation, in milliseconds since 1970. Distinguishes
  /// incarnations, because an id may be used again.
  int64_t BornMs = 0;
  core::VmId Vm;
  core::PoolId Pool;
  core::Address At;
  core::ZoneId Zone;
  core::RackId Rack;
  std::vector<std::string> Labels;
  core::Size Capacity;
  bool Draining = false;
  /// The leases of all its runs have expired; it gets no orders until it is
  /// registered again.
  bool Idle = false;

  bool operator==(const EndpointFacts &) const = default;
};

} // namespace almondgate::jobs

#endif
