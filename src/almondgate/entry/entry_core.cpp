#include "almondgate/entry/entry_core.hpp"

#include <algorithm>

namespace almondgate::entry {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::RequestId;
using core::Result;
using core::RunOutcome;
using core::TimeMs;
using model::DefaultField;
using model::RunEnd;

namespace {

constexpr int FirstServerError = 500;

RequestId grantIdOf(const RequestId &id, int attempt, int64_t ask) {
  return RequestId(id.str() + "/" + std::to_string(attempt) + "." +
                   std::to_string(ask));
}

// The pool has no owner, or another one: a retry may succeed.
bool isRetryable(ErrorCode code) {
  return code == ErrorCode::NotLeader || code == ErrorCode::Unavailable ||
         code == ErrorCode::DeadlineExceeded;
}

} // namespace

EntryCore::EntryCore(EntryOptions options, EntryHooks hooks)
    : Options(std::move(options)), Hooks(std::move(hooks)) {}

EntryCore::ActiveRequest *EntryCore::find(const RequestId &id) {
  const auto it = Open.find(id);
  return it == Open.end() ? nullptr : &it->second;
}

bool EntryCore::isFresh() const {
  return Hooks.Now() - ConfirmedAt <= Options.MaxViewAge;
}

core::Status EntryCore::checkAccepting() const {
  if (!isFresh())
    return Error{ErrorCode::Stale,
                 "the view is stale: no recent confirmation from the control "
                 "members; nothing was run"};
  if (Open.size() >= Options.MaxOpen)
    return Error{ErrorCode::Overloaded,
                 "this entry has too many open requests (limit " +
                     std::to_string(Options.MaxOpen) + ")"};
  return core::ok();
}

// Callers may reuse an id for different requests, so each arrival gets its own.
RequestId EntryCore::arrivalIdOf(const RequestId &id) {
  return RequestId(id.str() + "@" + Options.Self.str() + "#" +
                   std::to_string(NextArrival++));
}

void EntryCore::submit(CallerRequest request, OnResponse done) {
  if (auto good = checkAccepting(); !good) {
    done(good.error());
    return;
  }
  if (Open.contains(request.Id)) {
    done(Error{ErrorCode::Conflict,
               "a request with id " + request.Id.str() + " is already open"});
    return;
  }
  const auto admitted = policy::admit(View, request.Admission);
  if (!admitted) {
    Hooks.Log("request " + request.Id.str() +
              " refused: " + admitted.error().Text);
    done(admitted.error());
    return;
  }
  const auto &pool = admitted.value().Pool;
  const DurationMs wait{model::settingOf(View, pool, DefaultField::MaxWaitMs)};
  const DurationMs run{model::settingOf(View, pool, DefaultField::MaxRunMs)};
  const TimeMs now = Hooks.Now();
  ActiveRequest active;
  active.Request = std::move(request);
  active.Admitted = admitted.value();
  active.Done = std::move(done);
  active.ArrivedAt = now;
  active.Deadline = now + active.Request.Deadline.value_or(wait + run);
  active.WaitDeadline = std::min(now + wait, active.Deadline);
  Retries = Retries.withRequest();
  const RequestId id = active.Request.Id;
  active.Arrival = arrivalIdOf(id);
  ActiveRequest &added = Open.emplace(id, std::move(active)).first->second;
  if (!added.Request.Idempotent && !added.Request.IdempotencyKey.empty())
    recordIntent(added);
  else
    requestGrant(added);
}

// --- grants

void EntryCore::requestGrant(ActiveRequest &active) {
  const auto *owner = model::find(View.Owners, active.Admitted.Pool);
  if (!owner) {
    scheduleGrantRetry(active);
    return;
  }
  const TimeMs now = Hooks.Now();
  active.CurrentPhase = Phase::AwaitingGrant;
  active.GrantRequestedAt = now;
  active.GrantId = grantIdOf(active.Arrival, active.Attempt, now.Count);
  model::GrantRequest request;
  request.Id = active.GrantId;
  request.Entry = Options.Self;
  request.Pool = active.Admitted.Pool;
  request.Queue = active.Request.Admission.Queue;
  request.Team = active.Admitted.Team;
  request.Class = active.Admitted.Class;
  request.Need = active.Admitted.Need;
  request.WaitMs = std::max<int64_t>(1, (active.WaitDeadline - now).Count);
  request.Idempotent = active.Request.Idempotent;
  request.Exclude = active.FailedVms;
  const RequestId id = active.Request.Id;
  Hooks.Grant(owner->Placer, request,
              [this, id, grant_id = request.Id](const auto &granted) {
                onGrant(id, grant_id, granted);
              });
}

void EntryCore::scheduleGrantRetry(ActiveRequest &active) {
  active.CurrentPhase = Phase::Backoff;
  active.GrantRetryAt = Hooks.Now() + Options.GrantRetryDelay;
}

core::Status EntryCore::checkGrant(const ActiveRequest &active,
                                   const model::Grant &grant) const {
  const TimeMs now = Hooks.Now();
  const auto it = MinEpoch.find(grant.Pool);
  if (it != MinEpoch.end() && grant.Epoch < it->second)
    return Error{ErrorCode::Stale,
                 "the grant has epoch " + std::to_string(grant.Epoch) +
                     ", older than the owner's " + std::to_string(it->second)};
  if (now >
      active.GrantRequestedAt + DurationMs{grant.WaitedMs} + Options.GrantTtl)
    return Error{ErrorCode::Stale, "the grant arrived after its time to live"};
  if (now >= active.Deadline)
    return Error{ErrorCode::DeadlineExceeded,
                 "the request's deadline has passed"};
  return core::ok();
}

void EntryCore::onGrant(const RequestId &id, const RequestId &grant_id,
                        const Result<model::Grant> &granted) {
  ActiveRequest *active = find(id);
  const bool expected = active &&
                        active->CurrentPhase == Phase::AwaitingGrant &&
                        active->GrantId == grant_id;
  if (!expected) {
    if (granted)
      Hooks.Release({grant_id, granted.value().Pool, RunEnd::Unused, 0});
    return;
  }
  if (!granted) {
    const Error &error = granted.error();
    if (error.Code != ErrorCode::NotLeader)
      Hooks.Release({grant_id, active->Admitted.Pool, RunEnd::Unused, 0});
    if (isRetryable(error.Code) && Hooks.Now() < active->WaitDeadline) {
      scheduleGrantRetry(*active);
      return;
    }
    const bool sent = active->EverDispatched;
    Error reported = error;
    reported.Outcome = sent ? RunOutcome::Failed : RunOutcome::NotRun;
    if (!sent)
      recordCompletion(*active, 0);
    Hooks.Log("request " + id.str() + " refused: " + reported.Text);
    finish(id, reported);
    return;
  }
  const auto good = checkGrant(*active, granted.value());
  if (good) {
    dispatch(*active, granted.value());
    return;
  }
  Hooks.Release({grant_id, granted.value().Pool, RunEnd::Unused, 0});
  Hooks.Log("request " + id.str() +
            " returns its grant unused: " + good.error().Text);
  scheduleGrantRetry(*active);
}

// --- dispatch

void EntryCore::dispatch(ActiveRequest &active, const model::Grant &grant) {
  const TimeMs now = Hooks.Now();
  active.CurrentPhase = Phase::Running;
  active.Granted = grant;
  active.DispatchedAt = now;
  const DurationMs run{
      model::settingOf(View, grant.Pool, DefaultField::MaxRunMs)};
  http::EndpointCall call;
  call.To = grant.Endpoint;
  call.Request = active.Request.Payload;
  call.Request.Headers.push_back({"almondgate-request-id", grant.Id.str()});
  call.Request.Headers.push_back(
      {"almondgate-team", active.Admitted.Team.str()});
  call.FreshConnection = !active.Request.Idempotent;
  call.Timeout = std::min(run, active.Deadline - now);
  const RequestId id = active.Request.Id;
  Hooks.Log("request " + id.str() + " team " + active.Admitted.Team.str() +
            " -> " + grant.Vm.str() + " " + core::toString(grant.Endpoint) +
            " (attempt " + std::to_string(active.Attempt + 1) + ", waited " +
            std::to_string((now - active.ArrivedAt).Count) + " ms)");
  const uint64_t call_id = Hooks.Dispatch(
      std::move(call), [this, id, grant_id = grant.Id](const auto &answer) {
        onResponse(id, grant_id, answer);
      });
  // The response may have arrived already and finished the request.
  ActiveRequest *still = find(id);
  if (still && still->GrantId == grant.Id &&
      still->CurrentPhase == Phase::Running)
    still->CallId = call_id;
}

void EntryCore::releaseGrant(const ActiveRequest &active, RunEnd end) {
  const auto run = Hooks.Now() - active.DispatchedAt;
  Hooks.Release({active.Granted.Id, active.Granted.Pool, end, run.Count});
}

bool EntryCore::retryElsewhere(ActiveRequest &active, bool safe,
                               const std::string &why) {
  const bool more = active.Attempt + 1 < Options.MaxAttempts;
  const bool time = Hooks.Now() < active.WaitDeadline;
  if (!safe || !more || !time || !Retries.allowsRetry())
    return false;
  Retries = Retries.withRetry();
  active.FailedVms.push_back(active.Granted.Vm);
  ++active.Attempt;
  Hooks.Log("request " + active.Request.Id.str() +
            " retries on another endpoint (" + why + ")");
  requestGrant(active);
  return true;
}

void EntryCore::onResponse(const RequestId &id, const RequestId &grant_id,
                           const Result<http::Response> &answer) {
  ActiveRequest *active = find(id);
  if (!active || active->CurrentPhase != Phase::Running ||
      active->GrantId != grant_id)
    return;
  if (!answer) {
    onDispatchError(*active, answer.error());
    return;
  }
  active->EverDispatched = true;
  const int status = answer.value().Status;
  const bool failed = status >= FirstServerError;
  releaseGrant(*active, failed ? RunEnd::Failed : RunEnd::Succeeded);
  if (failed && retryElsewhere(*active, active->Request.Idempotent,
                               "status " + std::to_string(status)))
    return;
  recordCompletion(*active, status);
  finish(id, answer);
}

void EntryCore::onDispatchError(ActiveRequest &active, const Error &error) {
  const bool sent = error.Outcome != RunOutcome::NotRun;
  active.EverDispatched = active.EverDispatched || sent;
  releaseGrant(active, RunEnd::Failed);
  if (retryElsewhere(active, !sent || active.Request.Idempotent, error.Text))
    return;
  Error reported = error;
  if (!sent && !active.EverDispatched) {
    recordCompletion(active, 0);
    reported.Outcome = RunOutcome::NotRun;
  } else {
    reported.Outcome = RunOutcome::Unknown;
  }
  const RequestId id = active.Request.Id;
  Hooks.Log("request " + id.str() + " ended " +
            core::outcomeName(reported.Outcome) + ": " + reported.Text);
  finish(id, reported);
}

// --- completion

void EntryCore::finish(const RequestId &id, Result<http::Response> answer) {
  const auto it = Open.find(id);
  if (it == Open.end())
    return;
  const OnResponse done = std::move(it->second.Done);
  Open.erase(it);
  if (done)
    done(std::move(answer));
}

void EntryCore::callerDisconnected(const RequestId &id) {
  ActiveRequest *active = find(id);
  if (!active)
    return;
  active->Done = nullptr;
  const bool running = active->CurrentPhase == Phase::Running;
  if (running && !active->Request.Idempotent)
    return;
  cancel(id);
}

bool EntryCore::cancel(const RequestId &id) {
  ActiveRequest *active = find(id);
  if (!active)
    return false;
  Error reported{ErrorCode::Cancelled, "cancelled"};
  switch (active->CurrentPhase) {
  case Phase::Running:
    Hooks.Abort(active->CallId);
    releaseGrant(*active, RunEnd::Cancelled);
    reported.Outcome = RunOutcome::Unknown;
    break;
  case Phase::AwaitingGrant:
    Hooks.Release({active->GrantId, active->Admitted.Pool, RunEnd::Unused, 0});
    [[fallthrough]];
  case Phase::Recording:
  case Phase::Backoff:
    reported.Outcome =
        active->EverDispatched ? RunOutcome::Unknown : RunOutcome::NotRun;
    if (!active->EverDispatched)
      recordCompletion(*active, 0);
    break;
  }
  Hooks.Log("request " + id.str() + " cancelled");
  finish(id, reported);
  return true;
}

bool EntryCore::cancelFor(const RequestId &id, const std::string &key) {
  const ActiveRequest *active = find(id);
  return active && active->Request.Admission.Key == key && cancel(id);
}

void EntryCore::setView(const model::View &view, TimeMs confirmed_at) {
  if (view.Revision != View.Revision)
    View = view;
  ConfirmedAt = confirmed_at;
}

model::Inventory EntryCore::inventory(const model::InventoryRequest &request) {
  auto &oldest = MinEpoch[request.Pool];
  oldest = std::max(oldest, request.Epoch);
  model::Inventory out{Options.Self, request.Pool, {}};
  for (const auto &[id, active] : Open) {
    if (active.CurrentPhase != Phase::Running ||
        active.Granted.Pool != request.Pool)
      continue;
    out.Items.push_back({active.Granted.Id, active.Admitted.Team,
                         active.Request.Admission.Queue, active.Granted.Vm,
                         active.Admitted.Need, active.Admitted.Class});
  }
  return out;
}

void EntryCore::tick() {
  const TimeMs now = Hooks.Now();
  std::vector<RequestId> due;
  for (const auto &[id, active] : Open)
    if (active.CurrentPhase == Phase::Backoff && now >= active.GrantRetryAt)
      due.push_back(id);
  for (const auto &id : due) {
    ActiveRequest *active = find(id);
    if (!active)
      continue;
    if (now < active->WaitDeadline) {
      requestGrant(*active);
      continue;
    }
    const bool sent = active->EverDispatched;
    if (!sent)
      recordCompletion(*active, 0);
    finish(id, Error{ErrorCode::NoCapacity,
                     "no slot was free before the wait deadline",
                     sent ? RunOutcome::Unknown : RunOutcome::NotRun});
  }
}

} // namespace almondgate::entry
