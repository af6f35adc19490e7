#ifndef ALMONDGATE_STATE_COMMAND_HPP
#define ALMONDGATE_STATE_COMMAND_HPP

#include "almondgate/jobs/event.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/model/record.hpp"

#include <string>
#include <variant>
#include <vector>

namespace almondgate::state {

/// Creates or replaces teams, pools, queues, defaults and exceptions. If one of
/// the records is refused, none is applied.
struct PutRecords {
  std::vector<model::Record> Records;
  bool operator==(const PutRecords &) const = default;
};

/// Removes a pool, team, queue or exception that nothing refers to.
struct RemoveRecord {
  model::Record Content;
  bool operator==(const RemoveRecord &) const = default;
};

/// Authorizes callers that present a key to submit work for a team.
struct GrantKey {
  model::Key Granted;
  bool operator==(const GrantKey &) const = default;
};

/// Revokes a key.
struct WithdrawKey {
  core::KeyHash Hash;
  bool operator==(const WithdrawKey &) const = default;
};

/// Records the properties that an endpoint announced for its VM.
struct RegisterVm {
  model::Announcement Facts;
  bool operator==(const RegisterVm &) const = default;
};

/// Moves a VM between pools; an empty pool id stands for no pool.
struct MoveVm {
  core::VmId Vm;
  core::PoolId From;
  core::PoolId To;
  bool operator==(const MoveVm &) const = default;
};

/// Returns a released VM to service, or takes a VM out of service manually.
struct SetVmPhase {
  core::VmId Vm;
  model::VmPhase Phase = model::VmPhase::Active;
  bool operator==(const SetVmPhase &) const = default;
};

/// Starts a wave; its steps are created from the VMs that match it.
struct CreateWave {
  model::Wave Created;
  bool operator==(const CreateWave &) const = default;
};

/// Pauses, resumes or cancels a wave.
struct SetWaveStatus {
  core::WaveId Wave;
  model::WaveStatus Status = model::WaveStatus::Paused;
  bool operator==(const SetWaveStatus &) const = default;
};

/// Advances one VM of a wave to its next phase. Refused unless the VM is in
/// phase `From`, so that no leader repeats a step that another has taken.
struct AdvanceWave {
  core::WaveId Wave;
  core::VmId Vm;
  model::StepPhase From = model::StepPhase::Waiting;
  model::StepPhase To = model::StepPhase::Draining;
  bool operator==(const AdvanceWave &) const = default;
};

/// Assigns a pool to a placer under the next epoch. Refused unless the pool is
/// at `ExpectedEpoch`; a pool that was never assigned is at epoch 0.
struct AssignPool {
  core::PoolId Pool;
  core::ProcessId Owner;
  core::Address Placer;
  uint64_t ExpectedEpoch = 0;
  bool operator==(const AssignPool &) const = default;
};

/// Changes a pool's portion of a team's limit. Refused unless the current
/// portion is `From`.
struct SetPortion {
  core::TeamId Team;
  core::PoolId Pool;
  int64_t From = 0;
  int64_t To = 0;
  bool operator==(const SetPortion &) const = default;
};

/// Records a non-idempotent request before it is dispatched.
struct BeginIntent {
  core::TeamId Team;
  std::string Key;
  std::string Digest;
  core::RequestId Request;
  bool operator==(const BeginIntent &) const = default;
};

/// Records the outcome of a non-idempotent request: its HTTP status, or 0 if it
/// did not run and may be retried.
struct FinishIntent {
  core::TeamId Team;
  std::string Key;
  core::RequestId Request;
  int Status = 0;
  bool operator==(const FinishIntent &) const = default;
};

/// Removes the intents that began before a wall-clock time, in milliseconds.
struct ExpireIntents {
  int64_t BeforeWallMs = 0;
  bool operator==(const ExpireIntents &) const = default;
};

/// Allows a moved VM to receive work, once every owner has applied the move.
/// Refused unless `MovedAt` is the revision of the VM's last move.
struct CompleteVmMove {
  core::VmId Vm;
  uint64_t MovedAt = 0;
  bool operator==(const CompleteVmMove &) const = default;
};

/// Applies events to the job ledger, in order.
struct RecordJobs {
  std::vector<jobs::Event> Events;
  bool operator==(const RecordJobs &) const = default;
};

/// Any command on the replicated state. New kinds are only ever appended.
using Command =
    std::variant<PutRecords, RemoveRecord, GrantKey, WithdrawKey, RegisterVm,
                 MoveVm, SetVmPhase, CreateWave, SetWaveStatus, AdvanceWave,
                 AssignPool, SetPortion, BeginIntent, FinishIntent,
                 ExpireIntents, CompleteVmMove, RecordJobs>;

/// The stored names of the kinds, in the order of the variant.
inline constexpr const char *CommandKinds[] = {
    "put",          "remove",        "grant-key",
    "withdraw-key", "register-vm",   "move-vm",
    "set-vm-phase", "create-wave",   "set-wave-status",
    "advance-wave", "assign-pool",   "set-portion",
    "begin-intent", "finish-intent", "expire-intents",
    "settle-vm",    "record-jobs"};

/// The stable name of a command's kind, such as "move-vm".
inline const char *kindName(const Command &command) {
  return CommandKinds[command.index()];
}

} // namespace almondgate::state

#endif
