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

/// Operators' change numbers that are remembered.
inline constexpr size_t MaxRecordedChanges = 10000;
/// Operators' changes in the audit trail.
inline constexpr size_t MaxAuditEntries = 2000;
/// Records of non-idempotent requests.
inline constexpr size_t MaxIntents = 200000;

/// Everything that the control members replicate. Equal commands in equal
/// order give equal states.
struct State {
  using IntentKey = std::pair<core::TeamId, std::string>;
  using ChangeKey = std::pair<core::OperatorId, uint64_t>;

  model::View View;
  uint64_t OperatorRevision = 0;
  std::map<IntentKey, core::Value<Intent>> Intents;
  std::map<ChangeKey, core::Value<RecordedChange>> Changes;
  std::deque<ChangeKey> ChangeOrder;
  std::deque<core::Value<AuditEntry>> Audit;
  jobs::Ledger Jobs;

  bool operator==(const State &) const = default;
};

/// What a change did.
struct ApplyResult {
  ChangeResult Result;
  /// The records changed, for watchers.
  std::vector<model::Update> Updates;

  bool operator==(const ApplyResult &) const = default;
};

/// Applies a change whole, or refuses it and changes no record.
/// `digest` is the SHA-256 of the change's content.
ApplyResult applyChange(State &state, const Change &change,
                        const std::string &digest);

/// VMs of a pool that count as out: not active, or leaving.
int64_t countUnavailableVms(const model::View &view, const core::PoolId &pool);

/// The same for a pool of `vms` VMs, without counting them.
int64_t availabilityBudget(const model::View &view, const core::PoolId &pool,
                           int64_t vms);

/// Most VMs of a pool that may be out at once: the pool's percentage rounded
/// down, but one where the percentage is not zero.
int64_t availabilityBudget(const model::View &view, const core::PoolId &pool);

} // namespace almondgate::state

#endif
