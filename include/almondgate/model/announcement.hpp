#ifndef ALMONDGATE_MODEL_ANNOUNCEMENT_HPP
#define ALMONDGATE_MODEL_ANNOUNCEMENT_HPP

#include "almondgate/model/vm.hpp"

#include <vector>

namespace almondgate::model {

/// A request that an endpoint reports as running.
struct RunningRequest {
  core::RequestId Id;
  core::TeamId Team;

  bool operator==(const RunningRequest &) const = default;
};

/// The state that an endpoint reports once a second and on each change.
struct Announcement {
  core::VmId Vm;
  core::Address Endpoint;
  core::ZoneId Zone;
  core::RackId Rack;
  std::string BootId;
  core::Size Capacity;
  bool Ready = true;
  bool Leaving = false;
  std::vector<RunningRequest> Running;

  bool operator==(const Announcement &) const = default;
};

} // namespace almondgate::model

#endif
