#ifndef ALMONDGATE_JOBS_WAVE_RECORD_HPP
#define ALMONDGATE_JOBS_WAVE_RECORD_HPP

#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace almondgate::jobs {

/// One life of an endpoint.
struct EndpointIncarnation {
  EndpointId Id;
  int64_t BornMs = 0;

  auto operator<=>(const EndpointIncarnation &) const = default;
};

/// VMs that are due for upkeep within a time.
struct WaveRecord {
  int64_t Number = 0;
  std::vector<core::VmId> Vms;
  /// Most VMs that may be down at once.
  int64_t UpperLimit = 1;
  int64_t DurationMs = 0;
  int64_t StartedWallMs = 0;
  /// VMs whose upkeep may have been ordered, with the life that it ends.
  std::map<core::VmId, EndpointIncarnation> Begun;
  /// VMs that are back, or that left the fleet.
  std::set<core::VmId> Finished;

  bool operator==(const WaveRecord &) const = default;

  bool isCompleted() const { return Finished.size() >= Vms.size(); }
};

} // namespace almondgate::jobs

#endif
