#ifndef ALMONDGATE_MODEL_WAVE_HPP
#define ALMONDGATE_MODEL_WAVE_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/time_ms.hpp"

#include <map>
#include <string>

namespace almondgate::model {

/// What a wave does with each VM once it is empty.
enum class WaveKind { Drain, Reboot, Replace, Evacuate };

/// Status of a wave as a whole.
enum class WaveStatus { Running, Paused, Done, Cancelled };

/// Progress of a wave on one VM.
enum class StepPhase {
  Waiting,
  Draining,
  /// Empty and handed over to maintenance.
  Released,
  Done,
};

/// A maintenance wave over filtered VMs. An empty filter matches every VM.
struct Wave {
  core::WaveId Id;
  WaveKind Kind = WaveKind::Drain;
  core::PoolId Pool;
  core::RackId Rack;
  core::ZoneId Zone;
  /// Wall-clock time by which the VMs must be empty, in milliseconds since
  /// 1970; 0 for no deadline.
  int64_t DeadlineWallMs = 0;
  WaveStatus Status = WaveStatus::Running;
  /// Boot id of each VM at its release, to detect that the VM has restarted.
  std::map<core::VmId, std::string> ReleasedBoot;
  std::map<core::VmId, StepPhase> Steps;

  bool operator==(const Wave &) const = default;
};

const char *waveKindName(WaveKind kind);
const char *waveStatusName(WaveStatus status);
const char *stepPhaseName(StepPhase phase);

} // namespace almondgate::model

#endif
