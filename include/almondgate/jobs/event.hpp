#ifndef ALMONDGATE_JOBS_EVENT_HPP
#define ALMONDGATE_JOBS_EVENT_HPP

#include "almondgate/jobs/config_revision.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"
#include "almondgate/jobs/fleet_config.hpp"
#include "almondgate/jobs/job_spec.hpp"
#include "almondgate/jobs/wave_record.hpp"

#include <variant>

namespace almondgate::jobs {

/// A job was accepted.
struct JobAccepted {
  JobId Id;
  core::QueueId Queue;
  core::TeamId Team;
  JobSpec Spec;
  int64_t WallMs = 0;
  uint64_t Epoch = 0;
  /// The call that it was accepted for.
  std::string Call;
  bool operator==(const JobAccepted &) const = default;
};

/// A caller cancelled a job.
struct JobCancelled {
  JobId Id;
  int64_t WallMs = 0;
  bool operator==(const JobCancelled &) const = default;
};

/// A run ended for good: done, or failed by its own fault.
struct TaskEnded {
  JobId Job;
  /// Place in JobRecord::Tasks.
  uint64_t Task = 0;
  int64_t Run = 0;
  bool Done = false;
  int64_t WallMs = 0;
  bool operator==(const TaskEnded &) const = default;
};

/// Operators gave a configuration; an older one changes nothing.
struct ConfigReplaced {
  FleetConfig Config;
  bool operator==(const ConfigReplaced &) const = default;
};

/// Operators gave a configuration, told by what it changes; one that changes
/// another version than the ledger's does nothing.
struct ConfigRevised {
  ConfigRevision Revision;
  bool operator==(const ConfigRevised &) const = default;
};

/// An endpoint was heard of, or came back.
struct EndpointRegistered {
  EndpointFacts Facts;
  bool operator==(const EndpointRegistered &) const = default;
};

/// A life of an endpoint is over.
struct EndpointGone {
  EndpointId Id;
  int64_t BornMs = 0;
  bool operator==(const EndpointGone &) const = default;
};

/// An endpoint was out of reach until all that it ran had lapsed.
struct EndpointIdled {
  EndpointId Id;
  int64_t BornMs = 0;
  bool operator==(const EndpointIdled &) const = default;
};

/// A member leads: the next epoch, which fences orders of earlier leaders.
struct EpochBegun {
  std::string Leader;
  bool operator==(const EpochBegun &) const = default;
};

/// Operators asked for a wave; the same number again changes nothing.
struct WaveStarted {
  WaveRecord Wave;
  bool operator==(const WaveStarted &) const = default;
};

/// The upkeep of a VM is about to be ordered.
struct MaintenanceBegun {
  int64_t Wave = 0;
  core::VmId Vm;
  EndpointIncarnation Ends;
  bool operator==(const MaintenanceBegun &) const = default;
};

/// A VM is back from its upkeep, or has left the fleet.
struct MaintenanceFinished {
  int64_t Wave = 0;
  core::VmId Vm;
  bool operator==(const MaintenanceFinished &) const = default;
};

/// Jobs that ended long ago are forgotten.
struct JobsExpired {
  int64_t EndedBeforeWallMs = 0;
  bool operator==(const JobsExpired &) const = default;
};

/// An order for a VM, its move or its upkeep, is about to be sent.
struct VmOrdered {
  core::VmId Vm;
  bool operator==(const VmOrdered &) const = default;
};

/// No order for these VMs is within the order lease any more.
struct VmOrdersLapsed {
  std::vector<core::VmId> Vms;
  bool operator==(const VmOrdersLapsed &) const = default;
};

/// Anything that changes the ledger. Kinds are only ever added at the end.
using Event =
    std::variant<JobAccepted, JobCancelled, TaskEnded, ConfigReplaced,
                 EndpointRegistered, EndpointGone, EndpointIdled, EpochBegun,
                 WaveStarted, MaintenanceBegun, MaintenanceFinished,
                 JobsExpired, VmOrdered, VmOrdersLapsed, ConfigRevised>;

/// The names of the kinds, in the order of the variant.
inline constexpr const char *EventKinds[] = {
    "job-accepted", "job-cancelled",    "task-ended",
    "config-given", "registered",       "gone",
    "idled",        "epoch-begun",      "wave-started",
    "upkeep-begun", "upkeep-finished",  "jobs-expired",
    "vm-ordered",   "vm-orders-lapsed", "config-revised"};

} // namespace almondgate::jobs

#endif
