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

/// Takes a caller's request from its arrival to its answer: admission, record
/// of a non-idempotent request, grant, dispatch, retries. Owns no socket.
class EntryCore {
public:
  using OnResponse = std::function<void(core::Result<http::Response>)>;

  EntryCore(EntryOptions options, EntryHooks hooks);

  /// Takes a request; `done` is called exactly once unless the caller goes.
  void submit(CallerRequest request, OnResponse done);

  /// The caller has gone: what waits is withdrawn and what runs idempotently is
  /// cut; a non-idempotent run goes on so that its end is recorded.
  void callerDisconnected(const core::RequestId &id);

  /// The caller asks to cancel. False where the request is not here.
  bool cancel(const core::RequestId &id);

  /// The same for a caller that shows `key`: it must be the request's own.
  bool cancelFor(const core::RequestId &id, const std::string &key);

  /// A newer view, and when it was last confirmed.
  void setView(const model::View &view, core::TimeMs confirmed_at);

  /// A pool's new owner asks what runs here.
  model::Inventory inventory(const model::InventoryRequest &request);

  /// Lets requests that paused ask again, and ends those whose time is over;
  /// call every few milliseconds.
  void tick();

  /// True while the view is recent enough to admit new work.
  bool isFresh() const;

  size_t openRequests() const { return Open.size(); }

private:
  enum class Phase { Recording, Asking, Paused, Running };

  struct Active {
    CallerRequest Request;
    /// Unique for this arrival, over all entries.
    core::RequestId Arrival;
    policy::Admission Admitted;
    OnResponse Done;
    core::TimeMs Arrived;
    core::TimeMs WaitUntil;
    core::TimeMs Until;
    Phase Now = Phase::Asking;
    int Attempt = 0;
    bool Recorded = false;
    bool EverSent = false;
    /// While Asking: the grant request's id and when it was sent.
    core::RequestId GrantId;
    core::TimeMs Asked;
    core::TimeMs AskAgainAt;
    /// While Running.
    model::Grant Granted;
    core::TimeMs Sent;
    uint64_t Call = 0;
    std::vector<core::VmId> Failed;
  };

  core::RequestId arrivalIdOf(const core::RequestId &id);
  core::Status checkOpen() const;
  void record(Active &active);
  void onRecorded(const core::RequestId &id,
                  const core::Result<state::ChangeResult> &result);
  void ask(Active &active);
  void pause(Active &active);
  void onGrant(const core::RequestId &id, const core::RequestId &grant_id,
               const core::Result<model::Grant> &granted);
  core::Status checkGrant(const Active &active,
                          const model::Grant &grant) const;
  void dispatch(Active &active, const model::Grant &grant);
  void onResponse(const core::RequestId &id, const core::RequestId &grant_id,
                  const core::Result<http::Response> &answer);
  void onDispatchError(Active &active, const core::Error &error);
  bool retryElsewhere(Active &active, bool safe, const std::string &why);
  void release(const Active &active, model::RunEnd end);
  void recordEnd(const Active &active, int status);
  void finish(const core::RequestId &id, core::Result<http::Response> answer);
  Active *find(const core::RequestId &id);

  const EntryOptions Options;
  const EntryHooks Hooks;
  model::View View;
  core::TimeMs ConfirmedAt{INT64_MIN / 2};
  std::map<core::RequestId, Active> Open;
  std::map<core::PoolId, uint64_t> OldestEpoch;
  policy::RetryBudget Retries;
  uint64_t NextArrival = 0;
};

} // namespace almondgate::entry

#endif
