#ifndef ALMONDGATE_JOBS_WAVE_RECORD_HPP
#define ALMONDGATE_JOBS_WAVE_RECORD_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace almondgate::jobs {

/// One incarnation of an endpoint, identified by its start time.
struct EndpointIncarnation {
  EndpointId Id;
  /// Start of the incarnation, in milliseconds since 1970.
  int64_t BornMs = 0;

  auto operator<=>(const EndpointIncarnation &) const = default;
};

/// A maintenance wave: VMs that must undergo maintenance within a time.
struct WaveRecord {
  int64_t Number = 0;
  std::vector<core::VmId> Vms;
  /// Maximum number of VMs that may be down at once.
  int64_t UpperLimit = 1;
  /// Time in which the wave should complete, in milliseconds.
  int64_t DurationMs = 0;
  /// Wall-clock time of the start, in milliseconds since 1970.
  int64_t StartedWallMs = 0;
  /// VMs whose maintenance may have been ordered, with the incarnation that it
  /// ends.
  std::map<core::VmId, EndpointIncarnation> Begun;
  /// VMs that returned from maintenance or left the fleet.
  std::set<core::VmId> Finished;

  bool operator==(const WaveRecord &) const = default;

  bool isCompleted() const { return Finished.size() >= Vms.size(); }
};

/// Checks the ranges of a wave's numbers, and the number and sizes of its VM
/// ids. Errors: InvalidArgument.
core::Status checkWave(const WaveRecord &wave);

} // namespace almondgate::jobs

#endif
