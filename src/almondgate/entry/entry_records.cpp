#include "almondgate/core/digest.hpp"
#include "almondgate/entry/entry_core.hpp"

namespace almondgate::entry {

using core::Error;
using core::ErrorCode;
using core::RequestId;
using core::Result;
using core::RunOutcome;

namespace {

std::string contentDigest(const http::Request &payload) {
  return core::sha256Hex(payload.Method + "\n" + payload.Target + "\n" +
                         payload.Body);
}

} // namespace

// --- intent records of non-idempotent requests

void EntryCore::recordIntent(ActiveRequest &active) {
  active.CurrentPhase = Phase::Recording;
  state::Change change;
  change.AtWallMs = Hooks.WallClock();
  change.What =
      state::BeginIntent{active.Admitted.Team, active.Request.IdempotencyKey,
                         contentDigest(active.Request.Payload), active.Arrival};
  Hooks.Propose(change, [this, id = active.Request.Id](const auto &result) {
    onIntentRecorded(id, result);
  });
}

void EntryCore::onIntentRecorded(const RequestId &id,
                                 const Result<state::ChangeResult> &result) {
  ActiveRequest *active = find(id);
  if (!active)
    return;
  if (!result) {
    // The record may exist although the reply was lost. It names this request,
    // which was not dispatched, so it is finished here.
    recordCompletion(*active, 0);
    finish(id, Error{ErrorCode::Unavailable,
                     "the request could not be recorded; nothing was run"});
    return;
  }
  if (!result.value().Accepted) {
    Error refusal = result.value().Refusal;
    // The first request with this idempotency key ran or may still run.
    if (refusal.Code == ErrorCode::Conflict)
      refusal.Outcome = RunOutcome::Unknown;
    finish(id, refusal);
    return;
  }
  active->Recorded = true;
  requestGrant(*active);
}

void EntryCore::recordCompletion(const ActiveRequest &active, int status) {
  if (active.Request.Idempotent || active.Request.IdempotencyKey.empty())
    return;
  state::Change change;
  change.AtWallMs = Hooks.WallClock();
  change.What =
      state::FinishIntent{active.Admitted.Team, active.Request.IdempotencyKey,
                          active.Arrival, status};
  Hooks.Propose(change, [](const auto &) {});
}

} // namespace almondgate::entry
