#ifndef ALMONDGATE_STATE_COMMAND_HPP
#define ALMONDGATE_STATE_COMMAND_HPP

#include "almondgate/jobs/event.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/model/record.hpp"

#include <string>
#include <variant>
#include <vector>

namespace almondgate::state {

/// Creates or replaces teams, pools, queues, defaults and exceptions, all or
/// none.
struct PutRecords {
  std::vector<model::Record> Records;
  bool operator==(const PutRecords &) const = default;
};

/// Removes a pool, team, queue or exception that nothing refers to.
struct RemoveRecord {
  model::Record Content;
  bool operator==(const RemoveRecord &) const = default;
};

/// Lets callers with a key work for a team.
struct GrantKey {
  model::Key Granted;
  bool operator==(const GrantKey &) const = default;
};

/// Ends a key.
struct WithdrawKey {
  core::KeyHash Hash;
  bool operator==(const WithdrawKey &) const = default;
};

/// Records what an endpoint announced of itself.
struct RegisterVm {
  model::Announcement Facts;
  bool operator==(const RegisterVm &) const = default;
};

/// Moves a VM between pools; an empty pool means none.
struct MoveVm {
  core::VmId Vm;
  core::PoolId From;
  core::PoolId To;
  bool operator==(const MoveVm &) const = default;
};

/// Puts a released VM back to work, or takes one out by hand.
struct SetVmPhase {
  core::VmId Vm;
  model::VmPhase Phase = model::VmPhase::Active;
  bool operator==(const SetVmPhase &) const = default;
};

/// Starts a wave; its steps are filled in from the VMs that match.
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

/// Takes one step of a wave. Refused unless the VM is in phase `From`, so that
/// no leader repeats a step of another.
struct AdvanceWave {
  core::WaveId Wave;
  core::VmId Vm;
  model::StepPhase From = model::StepPhase::Waiting;
  model::StepPhase To = model::StepPhase::Draining;
  bool operator==(const AdvanceWave &) const = default;
};

/// Gives a pool to a placer, with the next epoch.
struct AssignPool {
  core::PoolId Pool;
  core::ProcessId Owner;
  core::Address Placer;
  uint64_t ExpectedEpoch = 0;
  bool operator==(const AssignPool &) const = default;
};

/// Changes a pool's part of a team's limit. Refused unless it is `From` now.
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

/// Records how a non-idempotent request ended: its HTTP status, or 0 where it
/// did not run and may be tried again.
struct FinishIntent {
  core::TeamId Team;
  std::string Key;
  core::RequestId Request;
  int Status = 0;
  bool operator==(const FinishIntent &) const = default;
};

/// Forgets the intents begun before a wall-clock time.
struct ExpireIntents {
  int64_t BeforeWallMs = 0;
  bool operator==(const ExpireIntents &) const = default;
};

/// Lets a moved VM take work: every owner has applied its move. Refused unless
/// `MovedAt` is still its last move.
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

/// Any command of the replicated state. Kinds are only ever added at the end.
using Command =
    std::variant<PutRecords, RemoveRecord, GrantKey, WithdrawKey, RegisterVm,
                 MoveVm, SetVmPhase, CreateWave, SetWaveStatus, AdvanceWave,
                 AssignPool, SetPortion, BeginIntent, FinishIntent,
                 ExpireIntents, CompleteVmMove, RecordJobs>;

/// The names of the kinds, in the order of the variant.
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
