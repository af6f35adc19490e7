#ifndef ALMONDGATE_JOBS_ENDPOINT_FACTS_HPP
#define ALMONDGATE_JOBS_ENDPOINT_FACTS_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/jobs/ids.hpp"

#include <string>
#include <vector>

namespace almondgate::jobs {

/// What an endpoint says of itself.
struct EndpointFacts {
  EndpointId Id;
  /// Start of this life, in milliseconds since 1970; an id may live twice.
  int64_t BornMs = 0;
  core::VmId Vm;
  core::PoolId Pool;
  core::Address At;
  core::ZoneId Zone;
  core::RackId Rack;
  std::vector<std::string> Labels;
  core::Size Capacity;
  bool Draining = false;
  /// No orders go there until it is registered again: what it ran has lapsed.
  bool Idle = false;

  bool operator==(const EndpointFacts &) const = default;
};

} // namespace almondgate::jobs

#endif
