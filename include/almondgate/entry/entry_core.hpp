#ifndef ALMONDGATE_ENTRY_ENTRY_CORE_HPP
#define ALMONDGATE_ENTRY_ENTRY_CORE_HPP

#include "almondgate/entry/caller_request.hpp"
#include "almondgate/entry/entry_hooks.hpp"
#include "almondgate/entry/entry_options.hpp"
#include "almondgate/model/inventory.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/policy/retry_budget.hpp"

#include <map>
#include <optional>
#include <vector>

namespace almondgate::entry {

/// Processes a caller's request from its arrival to its response: admission,
/// intent record of a non-idempotent request, grant, dispatch and retries. Owns
/// no socket.
class EntryCore {
public:
  using OnResponse = std::function<void(core::Result<http::Response>)>;

  EntryCore(EntryOptions options, EntryHooks hooks);

  /// Accepts or refuses a request; `done` is called exactly once unless the
  /// caller disconnects.
  void submit(CallerRequest request, OnResponse done);

  /// Handles a disconnected caller: cancels a waiting request and aborts an
  /// idempotent run. A non-idempotent run continues so that its completion is
  /// recorded.
  void callerDisconnected(const core::RequestId &id);

  /// Cancels a request. Returns false if it is not open on this entry.
  bool cancel(const core::RequestId &id);

  /// Cancels a request only if `key` is the API key it was submitted with.
  bool cancelFor(const core::RequestId &id, const std::string &key);

  /// Sets the view and the time when the control members last confirmed it.
  void setView(const model::View &view, core::TimeMs confirmed_at);

  /// Lists the runs of a pool on this entry for the pool's new owner; grants of
  /// earlier owners are rejected from now on.
  model::Inventory inventory(const model::InventoryRequest &request);

  /// Retries the grant of requests in backoff and fails those whose wait
  /// deadline has passed; call every few milliseconds.
  void tick();

  /// True while the view is recent enough to admit new work.
  bool isFresh() const;

  size_t openRequests() const { return Open.size(); }

private:
  enum class Phase { Recording, AwaitingGrant, Backoff, Running };

  struct ActiveRequest {
    CallerRequest Request;
    /// Unique for this arrival across all entries.
    core::RequestId Arrival;
    policy::Admission Admitted;
    OnResponse Done;
    core::TimeMs ArrivedAt;
    core::TimeMs WaitDeadline;
    core::TimeMs Deadline;
    Phase CurrentPhase = Phase::AwaitingGrant;
    int Attempt = 0;
    bool Recorded = false;
    bool EverDispatched = false;
    /// Only in AwaitingGrant: the id of the grant request and when it was sent.
    core::RequestId GrantId;
    core::TimeMs GrantRequestedAt;
    core::TimeMs GrantRetryAt;
    /// Only in Running.
    model::Grant Granted;
    core::TimeMs DispatchedAt;
    uint64_t CallId = 0;
    std::vector<core::VmId> FailedVms;
  };

  core::RequestId arrivalIdOf(const core::RequestId &id);
  core::Status checkAccepting() const;
  void recordIntent(ActiveRequest &active);
  void onIntentRecorded(const core::RequestId &id,
                        const core::Result<state::ChangeResult> &result);
  void requestGrant(ActiveRequest &active);
  void scheduleGrantRetry(ActiveRequest &active);
  void onGrant(const core::RequestId &id, const core::RequestId &grant_id,
               const core::Result<model::Grant> &granted);
  core::Status checkGrant(const ActiveRequest &active,
                          const model::Grant &grant) const;
  void dispatch(ActiveRequest &active, const model::Grant &grant);
  void onResponse(const core::RequestId &id, const core::RequestId &grant_id,
                  const core::Result<http::Response> &answer);
  void onDispatchError(ActiveRequest &active, const core::Error &error);
  bool retryElsewhere(ActiveRequest &active, bool safe, const std::string &why);
  void releaseGrant(const ActiveRequest &active, model::RunEnd end);
  void recordCompletion(const ActiveRequest &active, int status);
  void finish(const core::RequestId &id, core::Result<http::Response> answer);
  ActiveRequest *find(const core::RequestId &id);

  const EntryOptions Options;
  const EntryHooks Hooks;
  model::View View;
  core::TimeMs ConfirmedAt{INT64_MIN / 2};
  std::map<core::RequestId, ActiveRequest> Open;
  std::map<core::PoolId, uint64_t> MinEpoch;
  policy::RetryBudget Retries;
  uint64_t NextArrival = 0;
};

} // namespace almondgate::entry

#endif
