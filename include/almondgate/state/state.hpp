#ifndef ALMONDGATE_STATE_STATE_HPP
#define ALMONDGATE_STATE_STATE_HPP

#include "almondgate/jobs/ledger.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/state/audit_entry.hpp"
#include "almondgate/state/change.hpp"
#include "almondgate/state/intent.hpp"
#include "almondgate/state/recorded_change.hpp"

#include <deque>
#include <map>

namespace almondgate::state {

/// Maximum number of operators' changes whose results are kept for resends.
inline constexpr size_t MaxRecordedChanges = 10000;
/// Maximum number of entries in the audit trail.
inline constexpr size_t MaxAuditEntries = 2000;
/// Maximum number of recorded non-idempotent requests.
inline constexpr size_t MaxIntents = 200000;

/// The state that the control members replicate. It is deterministic: the same
/// commands in the same order give equal states.
struct State {
  using IntentKey = std::pair<core::TeamId, std::string>;
  using ChangeKey = std::pair<core::OperatorId, uint64_t>;

  model::View View;
  /// Revision of the last accepted change by an operator.
  uint64_t OperatorRevision = 0;
  std::map<IntentKey, core::Value<Intent>> Intents;
  std::map<ChangeKey, core::Value<RecordedChange>> Changes;
  /// Keys of `Changes`, oldest first.
  std::deque<ChangeKey> ChangeOrder;
  std::deque<core::Value<AuditEntry>> Audit;
  jobs::Ledger Jobs;

  bool operator==(const State &) const = default;
};

/// The effects of a change.
struct ApplyResult {
  ChangeResult Result;
  /// The changed records, for watchers.
  std::vector<model::Update> Updates;

  bool operator==(const ApplyResult &) const = default;
};

/// Applies a change atomically, or refuses it and changes no record. `digest`
/// is the SHA-256 of the change's content.
ApplyResult applyChange(State &state, const Change &change,
                        const std::string &digest);

/// Number of VMs of a pool that count as unavailable: not active, or leaving.
int64_t countUnavailableVms(const model::View &view, const core::PoolId &pool);

/// Maximum number of VMs of a pool that may be unavailable at once: the pool's
/// percentage of `vms`, its number of VMs, rounded down, but at least one
/// unless the percentage or `vms` is zero.
int64_t availabilityBudget(const model::View &view, const core::PoolId &pool,
                           int64_t vms);

/// The same, with the number of VMs that the pool has in the view.
int64_t availabilityBudget(const model::View &view, const core::PoolId &pool);

} // namespace almondgate::state

#endif
