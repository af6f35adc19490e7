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

// --- records of non-idempotent requests

void EntryCore::record(Active &active) {
  active.Now = Phase::Recording;
  state::Change change;
  change.AtWallMs = Hooks.WallClock();
  change.What =
      state::BeginIntent{active.Admitted.Team, active.Request.IdempotencyKey,
                         contentDigest(active.Request.Payload), active.Arrival};
  Hooks.Propose(change, [this, id = active.Request.Id](const auto &result) {
    onRecorded(id, result);
  });
}

void EntryCore::onRecorded(const RequestId &id,
                           const Result<state::ChangeResult> &result) {
  Active *active = find(id);
  if (!active)
    return;
  if (!result) {
    // The record may exist although its answer is lost. It names this request,
    // which was not dispatched, so it is taken back.
    recordEnd(*active, 0);
    finish(id, Error{ErrorCode::Unavailable,
                     "the request could not be recorded; nothing was run"});
    return;
  }
  if (!result.value().Accepted) {
    Error refusal = result.value().Refusal;
    // The first request with this key ran or may run.
    if (refusal.Code == ErrorCode::Conflict)
      refusal.Outcome = RunOutcome::Unknown;
    finish(id, refusal);
    return;
  }
  active->Recorded = true;
  ask(*active);
}

void EntryCore::recordEnd(const Active &active, int status) {
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
