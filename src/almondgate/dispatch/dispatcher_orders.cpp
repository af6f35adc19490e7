#include "almondgate/dispatch/dispatcher.hpp"

#include "pool_update.hpp"
#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using jobs::EndpointId;

namespace {

constexpr DurationMs UnavailableBackOff{300};
constexpr DurationMs RestartDelay{150};

std::string taskName(const EndpointView::TaskKey &task_key) {
  return task_key.first.str() + "#" + std::to_string(task_key.second);
}

} // namespace

OpenJob *Dispatcher::findOpenJob(const jobs::JobId &id) const {
  const auto it = OpenJobsById.find(id);
  return it == OpenJobsById.end() ? nullptr : it->second;
}

TaskState *Dispatcher::findTaskState(const TaskKey &task_key) const {
  OpenJob *job = findOpenJob(task_key.first);
  return job && task_key.second < job->Tasks.size()
             ? &job->Tasks[task_key.second]
             : nullptr;
}

void Dispatcher::setPhase(const TaskKey &task_key, TaskPhase phase) {
  Loads.setPhase(*findOpenJob(task_key.first), task_key.second, phase);
}

const jobs::StepSpec *Dispatcher::findStep(const TaskKey &task_key) const {
  if (const OpenJob *job = findOpenJob(task_key.first))
    return &job->stepOf(task_key.second);
  const auto *record = jobs::findJob(Ledger, task_key.first);
  if (!record)
    return nullptr;
  const auto task =
      jobs::taskAt(task_key.first, *record->Spec, task_key.second);
  return &record->Spec->Steps[task.Step];
}

// Returns the endpoint if that incarnation is still the current one, else null.
// Records the endpoint's clock from the reply. A reply whose clock shows that
// another incarnation gave it becomes NoAnswer.
EndpointView *Dispatcher::findAnsweringIncarnation(const EndpointId &id,
                                                   int64_t born_ms,
                                                   core::TimeMs given,
                                                   OrderReply &reply) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != born_ms)
    return nullptr;
  LeaseClock &lease = it->second.Lease;
  const auto now = Hooks.Now();
  if (reply.ClockMs && !lease.matches(*reply.ClockMs, given, now)) {
    Hooks.Log(
        "endpoint " + id.str() + " incarnation " + std::to_string(born_ms) +
        ": another one answered an order, its clock shows " +
        std::to_string(*reply.ClockMs) + " (" + lease.describe(now) + ")");
    Hooks.IncrementCounter("order_replies", "result", "other-incarnation");
    reply = OrderReply();
  }
  if (reply.ClockMs)
    lease.observe(*reply.ClockMs, now);
  return &it->second;
}

// --- starts

void Dispatcher::startTask(const TaskKey &task_key, EndpointView &at,
                           int64_t run) {
  OpenJob &job = *findOpenJob(task_key.first);
  TaskState &state = job.Tasks[task_key.second];
  const auto *record = job.Record;
  const auto *step = &job.stepOf(task_key.second);
  Loads.setPhase(job, task_key.second, TaskPhase::Ordered);
  state.Endpoint = at.Facts.Id;
  state.Run = run;
  state.Since = Hooks.Now();
  state.StopAcknowledged = false;
  state.StartResent = false;
  state.Confirmed = false;
  state.Listed = false;
  state.MissingSince.reset();
  state.Inherited = false;
  state.Percent = 0;
  addRun(at, task_key, *step);
  Pools.update(at);
  TeamUsage[record->Team] = TeamUsage[record->Team] + step->Need;
  std::string line;
  constexpr size_t UsualLineBytes = 256;
  line.reserve(UsualLineBytes);
  line.append("task ").append(task_key.first.str()).append("#");
  line.append(std::to_string(task_key.second)).append(" run ");
  line.append(std::to_string(run)).append(" -> ").append(at.Facts.Id.str());
  line.append(" incarnation ").append(std::to_string(at.Facts.BornMs));
  line.append(", used ").append(std::to_string(at.Used.MilliCpus)).append("/");
  line.append(std::to_string(at.Facts.Capacity.MilliCpus));
  line.append(" millicores, estimate ");
  line.append(std::to_string(step->EstimateMs)).append(" ms, lateness ");
  line.append(std::to_string((state.Since - job.Due).Count)).append(" ms");
  Hooks.Log(line);
  sendStart(task_key);
}

// An order is no start: the endpoint may reject it.
void Dispatcher::recordStarted(OpenJob &job) {
  if (!std::exchange(job.Started, true))
    Hooks.RecordDuration("job_wait", (Hooks.Now() - job.SentAt).Count);
}

void Dispatcher::sendStart(const TaskKey &task_key) {
  OpenJob &job = *findOpenJob(task_key.first);
  TaskState &state = job.Tasks[task_key.second];
  EndpointView &at = Endpoints.at(state.Endpoint);
  const auto *record = job.Record;
  StartOrder order;
  order.Task = jobs::taskAt(task_key.first, *record->Spec, task_key.second);
  order.Run = state.Run;
  order.Content = job.Content;
  order.DeadlineMs = at.Suspect ? at.Lease.granted()
                                : at.Lease.grant(Hooks.Now(), Options.Lease);
  order.Epoch = state.Fence = at.Fence;
  at.FenceUsed = true;
  at.recordLeaseCall(Hooks.Now());
  order.Checkpoint = state.Checkpoint;
  if (const auto *tickets =
          job.findTickets(order.Task.Occurrence, order.Task.Step))
    if (const auto *answer = tickets->find(at.Facts))
      order.Ticket = answer->Ticket.value_or("");
  const auto &facts = at.Facts;
  const auto withheld = std::make_shared<bool>(false);
  Hooks.Start(facts, order, makeStartCheck(task_key, state, withheld),
              [this, task_key, run = state.Run, id = facts.Id,
               born_ms = facts.BornMs, given = Hooks.Now(), withheld,
               generation = Generation](const OrderReply &reply) {
                if (generation != Generation)
                  return;
                if (*withheld && reply.Result == OrderResult::NotSent)
                  releaseWithheldStart(task_key, run, id);
                else
                  onStartReply(task_key, run, id, born_ms, given, reply);
              });
}

void Dispatcher::onStartReply(const TaskKey &task_key, int64_t run,
                              const EndpointId &at, int64_t born_ms,
                              core::TimeMs given, OrderReply reply) {
  EndpointView *answering = findAnsweringIncarnation(at, born_ms, given, reply);
  if (!answering)
    return;
  EndpointView &endpoint = *answering;
  const PoolUpdate update(Pools, endpoint);
  const auto now = Hooks.Now();
  endpoint.LastLeaseCall = now;
  Hooks.IncrementCounter("start_orders", "result",
                         orderResultName(reply.Result));
  TaskState *state = findTaskState(task_key);
  const bool is_current =
      state && state->Endpoint == at && state->Run == run && state->isPlaced();
  if (reply.Result == OrderResult::NoAnswer)
    endpoint.recordUnansweredCall(now,
                                  is_current ? state->Fence : endpoint.Fence);
  if (!is_current)
    return;
  if (reply.Result != OrderResult::Accepted)
    Hooks.Log("start of " + taskName(task_key) + " run " + std::to_string(run) +
              " at " + at.str() + " incarnation " + std::to_string(born_ms) +
              ": " + orderResultName(reply.Result) + " after " +
              std::to_string((now - given).Count) + " ms");
  const bool carried_out = state->Phase == TaskPhase::Running;
  if (reply.Result == OrderResult::NoAnswer && !carried_out)
    addLateStart(task_key, at, true);
  if (state->Phase == TaskPhase::Stopping)
    return;
  // An inventory has listed the run since, so only the answer was lost.
  if (state->Phase == TaskPhase::Running) {
    endpoint.Suspect =
        endpoint.Suspect || reply.Result == OrderResult::NoAnswer;
    return;
  }
  const auto await_inventory = [&] {
    setPhase(task_key, TaskPhase::Unanswered);
    state->Since = now;
  };
  const auto release_for_retry = [&](DurationMs delay) {
    state->NotBefore = now + delay;
    releaseTask(task_key, TaskPhase::Waiting);
  };
  switch (reply.Result) {
  case OrderResult::Accepted:
    recordStarted(*findOpenJob(task_key.first));
    setPhase(task_key, TaskPhase::Running);
    state->Since = now;
    state->Confirmed = reply.ClockMs.has_value();
    if (endpoint.Polled)
      endpoint.RenewDue = now;
    return;
  case OrderResult::NoAnswer:
    endpoint.Suspect = true;
    endpoint.RenewDue = now;
    ++endpoint.FailuresInRow;
    // The run may be in progress, or start seconds later, even in the
    // endpoint's next incarnation. An inventory that is requested from now on
    // decides.
    await_inventory();
    return;
  case OrderResult::Unavailable:
    endpoint.BackOffUntil = now + UnavailableBackOff;
    release_for_retry({});
    return;
  case OrderResult::NoRoom:
    endpoint.BackOffUntil = now + RestartDelay;
    release_for_retry({});
    return;
  case OrderResult::BadTicket:
    forgetTicket(task_key, at);
    release_for_retry({});
    return;
  case OrderResult::NotSent:
    endpoint.Suspect = true;
    endpoint.RenewDue = now;
    release_for_retry({});
    return;
  case OrderResult::WrongIncarnation:
    recordEnded(at, born_ms);
    endpoint.Suspect = true;
    return;
  case OrderResult::Outdated:
    // The run has ended or will never start; the next inventory shows which.
    setPhase(task_key, TaskPhase::Running);
    state->Since = now;
    return;
  case OrderResult::Fenced:
  case OrderResult::Late:
  case OrderResult::Malformed:
    release_for_retry(RestartDelay);
    return;
  }
}

// An order may wait for a connection or behind others while the state that it
// was decided on changes.
DispatcherHooks::MaySend Dispatcher::makeSendCheck(const TaskKey &task_key,
                                                   const TaskState &ordered,
                                                   TaskPhase phase) {
  return [this, task_key, phase, run = ordered.Run, at = ordered.Endpoint,
          born_ms = Endpoints.at(ordered.Endpoint).Facts.BornMs,
          generation = Generation] {
    if (generation != Generation || !isActive())
      return false;
    const auto to = Endpoints.find(at);
    const TaskState *state = findTaskState(task_key);
    return to != Endpoints.end() && to->second.Facts.BornMs == born_ms &&
           state && state->Phase == phase && state->Run == run &&
           state->Endpoint == at;
  };
}

DispatcherHooks::MaySend
Dispatcher::makeStartCheck(const TaskKey &task_key, const TaskState &ordered,
                           const std::shared_ptr<bool> &withheld) {
  return [this, check = makeSendCheck(task_key, ordered, TaskPhase::Ordered),
          at = ordered.Endpoint, withheld] {
    if (!check())
      return false;
    *withheld = isEvacuated(Endpoints.at(at));
    return !*withheld;
  };
}

DispatcherHooks::MaySend Dispatcher::makeLeaderCheck() {
  return [this, generation = Generation] {
    return generation == Generation && isActive();
  };
}

// --- stops

void Dispatcher::stopTask(const TaskKey &task_key, const char *reason) {
  TaskState &state = *findTaskState(task_key);
  if (state.Phase == TaskPhase::Stopping || !state.isPlaced())
    return;
  Hooks.Log("stop of " + taskName(task_key) + " run " +
            std::to_string(state.Run) + " at " + state.Endpoint.str() + " (" +
            reason + "), " + describeBudget(task_key));
  Hooks.IncrementCounter("stop_orders", "why", reason);
  setPhase(task_key, TaskPhase::Stopping);
  state.StopAcknowledged = false;
  state.Since = Hooks.Now();
  if (Hooks.HasRoomForStop())
    sendStop(task_key);
  else
    Agenda.retryStop(Endpoints.at(state.Endpoint), task_key);
}

void Dispatcher::sendStop(const TaskKey &task_key) {
  const TaskState &state = *findTaskState(task_key);
  const auto *record = jobs::findJob(Ledger, task_key.first);
  const EndpointView &at = Endpoints.at(state.Endpoint);
  const auto facts = at.Facts;
  const StopOrder order{
      jobs::taskAt(task_key.first, *record->Spec, task_key.second), state.Run,
      at.Fence};
  Hooks.Stop(
      facts, order,
      [check = makeSendCheck(task_key, state, TaskPhase::Stopping), this,
       task_key] { return check() && mayStop(task_key); },
      [this, task_key, run = state.Run, id = facts.Id, born_ms = facts.BornMs,
       given = Hooks.Now(), generation = Generation](const OrderReply &reply) {
        if (generation == Generation)
          onStopReply(task_key, run, id, born_ms, given, reply);
      });
}

void Dispatcher::onStopReply(const TaskKey &task_key, int64_t run,
                             const EndpointId &at, int64_t born_ms,
                             core::TimeMs given, OrderReply reply) {
  EndpointView *answering = findAnsweringIncarnation(at, born_ms, given, reply);
  if (!answering)
    return;
  EndpointView &endpoint = *answering;
  const PoolUpdate update(Pools, endpoint);
  TaskState *state = findTaskState(task_key);
  if (!state || state->Endpoint != at || state->Run != run ||
      state->Phase != TaskPhase::Stopping)
    return;
  if (reply.Result == OrderResult::Accepted) {
    // An inventory that is requested after this shows whether the run has
    // ended.
    state->StopAcknowledged = true;
    state->Since = Hooks.Now();
    endpoint.RenewDue = state->Since;
    return;
  }
  Hooks.Log("stop of " + taskName(task_key) + " run " + std::to_string(run) +
            " at " + at.str() + ": " + orderResultName(reply.Result));
  if (reply.Result == OrderResult::WrongIncarnation) {
    recordEnded(at, born_ms);
    return;
  }
  Agenda.retryStop(endpoint, task_key);
  const bool withheld =
      reply.Result == OrderResult::NotSent && !mayStop(task_key);
  endpoint.Suspect = endpoint.Suspect ||
                     reply.Result == OrderResult::NoAnswer ||
                     (reply.Result == OrderResult::NotSent && !withheld);
}

void Dispatcher::retryStops() {
  const auto now = Hooks.Now();
  for (auto *endpoint : Agenda.takeStopRetries()) {
    const auto &id = endpoint->Facts.Id;
    for (const auto &task_key : std::exchange(endpoint->StopRetries, {})) {
      TaskState *state = findTaskState(task_key);
      const bool wanted = state && state->Endpoint == id &&
                          state->Phase == TaskPhase::Stopping &&
                          !state->StopAcknowledged;
      if (!wanted)
        continue;
      if (now - state->Since < Options.RetryInterval || !mayStop(task_key) ||
          !Hooks.HasRoomForStop()) {
        Agenda.retryStop(*endpoint, task_key);
        continue;
      }
      state->Since = now;
      sendStop(task_key);
    }
  }
}

void Dispatcher::stopOrphanedRun(EndpointView &at,
                                 const EndpointView::RunKey &key) {
  auto &orphan = at.OrphanedRuns.at(key);
  const auto now = Hooks.Now();
  if (now - orphan.StopSent < Options.RetryInterval)
    return;
  orphan.StopSent = now;
  std::string line = "stop of orphaned run " + std::to_string(key.second) +
                     " of job " + key.first.Job.str() + " at " +
                     at.Facts.Id.str();
  const auto *record = jobs::findJob(Ledger, key.first.Job);
  const auto index =
      record ? jobs::indexOf(*record->Spec, key.first) : std::nullopt;
  line += " incarnation " + std::to_string(at.Facts.BornMs);
  if (index && OpenJobs.contains(key.first.Job)) {
    const TaskState &state = *findTaskState({key.first.Job, *index});
    line += "; task #" + std::to_string(*index) + " run " +
            std::to_string(state.Run) +
            (state.isPlaced() ? " at " + state.Endpoint.str() : "") + " is " +
            describeBudget({key.first.Job, *index});
  }
  Hooks.Log(line);
  Hooks.IncrementCounter("stop_orders", "why", "unwanted");
  Hooks.Stop(at.Facts, {key.first, key.second, at.Fence}, makeLeaderCheck(),
             [](const OrderReply &) {});
}

// --- ends

void Dispatcher::releaseTask(const TaskKey &task_key, TaskPhase next) {
  OpenJob *open = findOpenJob(task_key.first);
  if (!open)
    return;
  OpenJob &job = *open;
  TaskState &state = job.Tasks[task_key.second];
  const auto *record = job.Record;
  const auto *step = &job.stepOf(task_key.second);
  if (state.isPlaced()) {
    TeamUsage[record->Team] = TeamUsage[record->Team] - step->Need;
    const auto at = Endpoints.find(state.Endpoint);
    if (at != Endpoints.end()) {
      removeRun(at->second, task_key, *step);
      Pools.update(at->second);
    }
  }
  // Another run of the task may have completed it in the meantime.
  const bool done = record->Tasks[task_key.second].Done;
  Loads.setPhase(job, task_key.second, done ? TaskPhase::Done : next);
  state.Since = Hooks.Now();
  state.Endpoint = EndpointId();
  schedulePass();
}

} // namespace almondgate::dispatch
