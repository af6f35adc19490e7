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

// The pool has no owner now, or not this one: asking again may help.
bool mayAskAgain(ErrorCode code) {
  return code == ErrorCode::NotLeader || code == ErrorCode::Unavailable ||
         code == ErrorCode::DeadlineExceeded;
}

} // namespace

EntryCore::EntryCore(EntryOptions options, EntryHooks hooks)
    : Options(std::move(options)), Hooks(std::move(hooks)) {}

EntryCore::Active *EntryCore::find(const RequestId &id) {
  const auto it = Open.find(id);
  return it == Open.end() ? nullptr : &it->second;
}

bool EntryCore::isFresh() const {
  return Hooks.Now() - ConfirmedAt <= Options.FreshFor;
}

core::Status EntryCore::checkOpen() const {
  if (!isFresh())
    return Error{ErrorCode::Stale,
                 "no word from the control members; nothing was run"};
  if (Open.size() >= Options.MaxOpen)
    return Error{ErrorCode::Overloaded, "too many requests wait here"};
  return core::ok();
}

// Callers may give equal ids to different requests: each arrival has its own.
RequestId EntryCore::arrivalIdOf(const RequestId &id) {
  return RequestId(id.str() + "@" + Options.Self.str() + "#" +
                   std::to_string(NextArrival++));
}

void EntryCore::submit(CallerRequest request, OnResponse done) {
  if (auto good = checkOpen(); !good) {
    done(good.error());
    return;
  }
  if (Open.contains(request.Id)) {
    done(Error{ErrorCode::Conflict, "a request with this id is running"});
    return;
  }
  const auto admitted = policy::admit(View, request.Asked);
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
  Active active;
  active.Request = std::move(request);
  active.Admitted = admitted.value();
  active.Done = std::move(done);
  active.Arrived = now;
  active.Until = now + active.Request.Deadline.value_or(wait + run);
  active.WaitUntil = std::min(now + wait, active.Until);
  Retries = Retries.withRequest();
  const RequestId id = active.Request.Id;
  active.Arrival = arrivalIdOf(id);
  Active &held = Open.emplace(id, std::move(active)).first->second;
  if (!held.Request.Idempotent && !held.Request.IdempotencyKey.empty())
    record(held);
  else
    ask(held);
}

// --- grants

void EntryCore::ask(Active &active) {
  const auto *owner = model::find(View.Owners, active.Admitted.Pool);
  if (!owner) {
    pause(active);
    return;
  }
  const TimeMs now = Hooks.Now();
  active.Now = Phase::Asking;
  active.Asked = now;
  active.GrantId = grantIdOf(active.Arrival, active.Attempt, now.Count);
  model::GrantRequest request;
  request.Id = active.GrantId;
  request.Entry = Options.Self;
  request.Pool = active.Admitted.Pool;
  request.Queue = active.Request.Asked.Queue;
  request.Team = active.Admitted.Team;
  request.Class = active.Admitted.Class;
  request.Need = active.Admitted.Need;
  request.WaitMs = std::max<int64_t>(1, (active.WaitUntil - now).Count);
  request.Idempotent = active.Request.Idempotent;
  request.Exclude = active.Failed;
  const RequestId id = active.Request.Id;
  Hooks.Grant(owner->Placer, request,
              [this, id, grant_id = request.Id](const auto &granted) {
                onGrant(id, grant_id, granted);
              });
}

void EntryCore::pause(Active &active) {
  active.Now = Phase::Paused;
  active.AskAgainAt = Hooks.Now() + Options.AskAgainAfter;
}

core::Status EntryCore::checkGrant(const Active &active,
                                   const model::Grant &grant) const {
  const TimeMs now = Hooks.Now();
  const auto it = OldestEpoch.find(grant.Pool);
  if (it != OldestEpoch.end() && grant.Epoch < it->second)
    return Error{ErrorCode::Stale, "granted by an earlier owner"};
  if (now > active.Asked + DurationMs{grant.WaitedMs} + Options.GrantTtl)
    return Error{ErrorCode::Stale, "the grant came late"};
  if (now >= active.Until)
    return Error{ErrorCode::DeadlineExceeded, "the deadline has passed"};
  return core::ok();
}

void EntryCore::onGrant(const RequestId &id, const RequestId &grant_id,
                        const Result<model::Grant> &granted) {
  Active *active = find(id);
  const bool expected =
      active && active->Now == Phase::Asking && active->GrantId == grant_id;
  if (!expected) {
    if (granted)
      Hooks.Release({grant_id, granted.value().Pool, RunEnd::Unused, 0});
    return;
  }
  if (!granted) {
    const Error &error = granted.error();
    if (error.Code != ErrorCode::NotLeader)
      Hooks.Release({grant_id, active->Admitted.Pool, RunEnd::Unused, 0});
    if (mayAskAgain(error.Code) && Hooks.Now() < active->WaitUntil) {
      pause(*active);
      return;
    }
    const bool sent = active->EverSent;
    Error told = error;
    told.Outcome = sent ? RunOutcome::Failed : RunOutcome::NotRun;
    if (!sent)
      recordEnd(*active, 0);
    Hooks.Log("request " + id.str() + " refused: " + told.Text);
    finish(id, told);
    return;
  }
  const auto good = checkGrant(*active, granted.value());
  if (good) {
    dispatch(*active, granted.value());
    return;
  }
  Hooks.Release({grant_id, granted.value().Pool, RunEnd::Unused, 0});
  Hooks.Log("request " + id.str() +
            " returned its grant: " + good.error().Text);
  pause(*active);
}

// --- dispatch

void EntryCore::dispatch(Active &active, const model::Grant &grant) {
  const TimeMs now = Hooks.Now();
  active.Now = Phase::Running;
  active.Granted = grant;
  active.Sent = now;
  const DurationMs run{
      model::settingOf(View, grant.Pool, DefaultField::MaxRunMs)};
  http::EndpointCall call;
  call.To = grant.Endpoint;
  call.Request = active.Request.Payload;
  call.Request.Headers.push_back({"almondgate-request-id", grant.Id.str()});
  call.Request.Headers.push_back(
      {"almondgate-team", active.Admitted.Team.str()});
  call.FreshConnection = !active.Request.Idempotent;
  call.Timeout = std::min(run, active.Until - now);
  const RequestId id = active.Request.Id;
  Hooks.Log("request " + id.str() + " team " + active.Admitted.Team.str() +
            " -> " + grant.Vm.str() + " " + core::toString(grant.Endpoint) +
            " (attempt " + std::to_string(active.Attempt + 1) + ", waited " +
            std::to_string((now - active.Arrived).Count) + " ms)");
  const uint64_t number = Hooks.Dispatch(
      std::move(call), [this, id, grant_id = grant.Id](const auto &answer) {
        onResponse(id, grant_id, answer);
      });
  // The answer may have come already, and the request may be gone.
  Active *still = find(id);
  if (still && still->GrantId == grant.Id && still->Now == Phase::Running)
    still->Call = number;
}

void EntryCore::release(const Active &active, RunEnd end) {
  const auto run = Hooks.Now() - active.Sent;
  Hooks.Release({active.Granted.Id, active.Granted.Pool, end, run.Count});
}

bool EntryCore::retryElsewhere(Active &active, bool safe,
                               const std::string &why) {
  const bool more = active.Attempt + 1 < Options.MaxAttempts;
  const bool time = Hooks.Now() < active.WaitUntil;
  if (!safe || !more || !time || !Retries.allowsRetry())
    return false;
  Retries = Retries.withRetry();
  active.Failed.push_back(active.Granted.Vm);
  ++active.Attempt;
  Hooks.Log("request " + active.Request.Id.str() + " tries another endpoint (" +
            why + ")");
  ask(active);
  return true;
}

void EntryCore::onResponse(const RequestId &id, const RequestId &grant_id,
                           const Result<http::Response> &answer) {
  Active *active = find(id);
  if (!active || active->Now != Phase::Running || active->GrantId != grant_id)
    return;
  if (!answer) {
    onDispatchError(*active, answer.error());
    return;
  }
  active->EverSent = true;
  const int status = answer.value().Status;
  const bool failed = status >= FirstServerError;
  release(*active, failed ? RunEnd::Failed : RunEnd::Succeeded);
  if (failed && retryElsewhere(*active, active->Request.Idempotent,
                               "status " + std::to_string(status)))
    return;
  recordEnd(*active, status);
  finish(id, answer);
}

void EntryCore::onDispatchError(Active &active, const Error &error) {
  const bool sent = error.Outcome != RunOutcome::NotRun;
  active.EverSent = active.EverSent || sent;
  release(active, RunEnd::Failed);
  if (retryElsewhere(active, !sent || active.Request.Idempotent, error.Text))
    return;
  Error told = error;
  if (!sent && !active.EverSent) {
    recordEnd(active, 0);
    told.Outcome = RunOutcome::NotRun;
  } else {
    told.Outcome = RunOutcome::Unknown;
  }
  const RequestId id = active.Request.Id;
  Hooks.Log("request " + id.str() + " ended " +
            core::outcomeName(told.Outcome) + ": " + told.Text);
  finish(id, told);
}

// --- the end

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
  Active *active = find(id);
  if (!active)
    return;
  active->Done = nullptr;
  const bool running = active->Now == Phase::Running;
  if (running && !active->Request.Idempotent)
    return;
  cancel(id);
}

bool EntryCore::cancel(const RequestId &id) {
  Active *active = find(id);
  if (!active)
    return false;
  Error told{ErrorCode::Cancelled, "cancelled"};
  switch (active->Now) {
  case Phase::Running:
    Hooks.Abort(active->Call);
    release(*active, RunEnd::Cancelled);
    told.Outcome = RunOutcome::Unknown;
    break;
  case Phase::Asking:
    Hooks.Release({active->GrantId, active->Admitted.Pool, RunEnd::Unused, 0});
    [[fallthrough]];
  case Phase::Recording:
  case Phase::Paused:
    told.Outcome = active->EverSent ? RunOutcome::Unknown : RunOutcome::NotRun;
    if (!active->EverSent)
      recordEnd(*active, 0);
    break;
  }
  Hooks.Log("request " + id.str() + " cancelled");
  finish(id, told);
  return true;
}

bool EntryCore::cancelFor(const RequestId &id, const std::string &key) {
  const Active *active = find(id);
  return active && active->Request.Asked.Key == key && cancel(id);
}

void EntryCore::setView(const model::View &view, TimeMs confirmed_at) {
  if (view.Revision != View.Revision)
    View = view;
  ConfirmedAt = confirmed_at;
}

model::Inventory EntryCore::inventory(const model::InventoryRequest &request) {
  auto &oldest = OldestEpoch[request.Pool];
  oldest = std::max(oldest, request.Epoch);
  model::Inventory out{Options.Self, request.Pool, {}};
  for (const auto &[id, active] : Open) {
    if (active.Now != Phase::Running || active.Granted.Pool != request.Pool)
      continue;
    out.Items.push_back({active.Granted.Id, active.Admitted.Team,
                         active.Request.Asked.Queue, active.Granted.Vm,
                         active.Admitted.Need, active.Admitted.Class});
  }
  return out;
}

void EntryCore::tick() {
  const TimeMs now = Hooks.Now();
  std::vector<RequestId> due;
  for (const auto &[id, active] : Open)
    if (active.Now == Phase::Paused && now >= active.AskAgainAt)
      due.push_back(id);
  for (const auto &id : due) {
    Active *active = find(id);
    if (!active)
      continue;
    if (now < active->WaitUntil) {
      ask(*active);
      continue;
    }
    const bool sent = active->EverSent;
    if (!sent)
      recordEnd(*active, 0);
    finish(id, Error{ErrorCode::NoCapacity, "no slot in time",
                     sent ? RunOutcome::Unknown : RunOutcome::NotRun});
  }
}

} // namespace almondgate::entry
