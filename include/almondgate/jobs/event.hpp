#ifndef ALMONDGATE_JOBS_EVENT_HPP
#define ALMONDGATE_JOBS_EVENT_HPP

#include "almondgate/jobs/config_revision.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"
#include "almondgate/jobs/fleet_config.hpp"
#include "almondgate/jobs/job_spec.hpp"
#include "almondgate/jobs/job_terms.hpp"
#include "almondgate/jobs/wave_record.hpp"

#include <variant>

namespace almondgate::jobs {

/// A job was accepted.
struct JobAccepted {
  JobId Id;
  core::QueueId Queue;
  core::TeamId Team;
  JobSpec Spec;
  /// Wall-clock time when the job was first sent, in milliseconds since 1970;
  /// earlier than the acceptance if the job was refused before.
  int64_t WallMs = 0;
  /// Epoch of the leader that accepted it.
  uint64_t Epoch = 0;
  /// Id of the call with which it was accepted.
  std::string Call;
  /// Without a pool in events of earlier versions.
  JobTerms Terms;
  bool operator==(const JobAccepted &) const = default;
};

/// A caller cancelled a job.
struct JobCancelled {
  JobId Id;
  int64_t WallMs = 0;
  bool operator==(const JobCancelled &) const = default;
};

/// A run ended for good: it succeeded, or failed through its own fault.
struct TaskEnded {
  JobId Job;
  /// Index into JobRecord::Tasks.
  uint64_t Task = 0;
  int64_t Run = 0;
  bool Done = false;
  int64_t WallMs = 0;
  bool operator==(const TaskEnded &) const = default;
};

/// Operators replaced the configuration. Ignored unless its version is higher
/// than the current one.
struct ConfigReplaced {
  FleetConfig Config;
  bool operator==(const ConfigReplaced &) const = default;
};

/// Operators replaced the configuration, recorded as a difference. Ignored if
/// its base version is not the version in the ledger.
struct ConfigRevised {
  ConfigRevision Revision;
  bool operator==(const ConfigRevised &) const = default;
};

/// An endpoint registered for the first time, or again. Ignored if a later
/// incarnation of it is known. Earlier versions applied it even then.
struct EndpointRegistered {
  EndpointFacts Facts;
  bool operator==(const EndpointRegistered &) const = default;
};

/// An incarnation of an endpoint ended.
struct EndpointGone {
  EndpointId Id;
  int64_t BornMs = 0;
  bool operator==(const EndpointGone &) const = default;
};

/// An endpoint was unreachable until the leases of all its runs had expired.
struct EndpointIdled {
  EndpointId Id;
  int64_t BornMs = 0;
  bool operator==(const EndpointIdled &) const = default;
};

/// A member became leader. Begins the next epoch, which fences orders of
/// earlier leaders.
struct EpochBegun {
  std::string Leader;
  bool operator==(const EpochBegun &) const = default;
};

/// Operators started a wave. Ignored if a wave with this number exists.
struct WaveStarted {
  WaveRecord Wave;
  bool operator==(const WaveStarted &) const = default;
};

/// Maintenance of a VM is about to be ordered.
struct MaintenanceBegun {
  int64_t Wave = 0;
  core::VmId Vm;
  /// The incarnation that the maintenance ends.
  EndpointIncarnation Ends;
  bool operator==(const MaintenanceBegun &) const = default;
};

/// A VM returned from its maintenance, or left the fleet.
struct MaintenanceFinished {
  int64_t Wave = 0;
  core::VmId Vm;
  bool operator==(const MaintenanceFinished &) const = default;
};

/// Records of jobs that ended before a time are removed.
struct JobsExpired {
  int64_t EndedBeforeWallMs = 0;
  bool operator==(const JobsExpired &) const = default;
};

/// An order to move or maintain a VM is about to be sent.
struct VmOrdered {
  core::VmId Vm;
  /// The pool that the VM is moved to; empty for maintenance.
  core::PoolId To;
  bool operator==(const VmOrdered &) const = default;
};

/// The order leases of all orders for these VMs have expired.
struct VmOrdersLapsed {
  std::vector<core::VmId> Vms;
  bool operator==(const VmOrdersLapsed &) const = default;
};

/// A start order for a task got no answer: the endpoint may carry it out
/// seconds later, until that is over.
struct StartUnanswered {
  JobId Job;
  /// Index into JobRecord::Tasks.
  uint64_t Task = 0;
  EndpointId Endpoint;
  bool Over = false;
  bool operator==(const StartUnanswered &) const = default;
};

/// An operator requested the evacuation of a zone.
struct ZoneEvacuated {
  core::ZoneId Zone;
  /// Name of the operator.
  std::string By;
  std::string Reason;
  /// Wall-clock time of the request, in milliseconds since 1970.
  int64_t WallMs = 0;
  /// Ledger::EvacuationRevision that the change was decided on; an event with
  /// another one is ignored.
  uint64_t Base = 0;
  bool operator==(const ZoneEvacuated &) const = default;
};

/// An operator withdrew the evacuation of a zone.
struct EvacuationWithdrawn {
  core::ZoneId Zone;
  std::string By;
  std::string Reason;
  int64_t WallMs = 0;
  /// As in ZoneEvacuated.
  uint64_t Base = 0;
  bool operator==(const EvacuationWithdrawn &) const = default;
};

/// Any change to the ledger. New kinds are only appended, never inserted.
using Event =
    std::variant<JobAccepted, JobCancelled, TaskEnded, ConfigReplaced,
                 EndpointRegistered, EndpointGone, EndpointIdled, EpochBegun,
                 WaveStarted, MaintenanceBegun, MaintenanceFinished,
                 JobsExpired, VmOrdered, VmOrdersLapsed, ConfigRevised,
                 StartUnanswered, ZoneEvacuated, EvacuationWithdrawn>;

/// Stored names of the kinds, in the order of the variant.
inline constexpr const char *EventKinds[] = {
    "job-accepted",    "job-cancelled",
    "task-ended",      "config-given",
    "registered",      "gone",
    "idled",           "epoch-begun",
    "wave-started",    "upkeep-begun",
    "upkeep-finished", "jobs-expired",
    "vm-ordered",      "vm-orders-lapsed",
    "config-revised",  "start-unanswered",
    "zone-evacuated",  "evacuation-withdrawn"};

} // namespace almondgate::jobs

#endif
