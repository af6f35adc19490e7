#include "almondgate/dispatch/dispatcher.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::TimeMs;
using jobs::EndpointId;

namespace {

auto findLateStart(auto &all, const EndpointId &at) {
  return std::find_if(all.begin(), all.end(), [&](const LateStart &late) {
    return late.Endpoint == at;
  });
}

} // namespace

// Once the incarnation that was read is lost, the next one may find the order.
bool Dispatcher::isSettled(const LateStart &late) const {
  const auto it = Endpoints.find(late.Endpoint);
  return it != Endpoints.end() && !it->second.Suspect &&
         it->second.LastCompleteRead > late.Since &&
         it->second.CompleteReadFence > late.Fence;
}

// When the last call that extends the lease was given up at the latest.
TimeMs Dispatcher::lastLeaseCallEnd(const EndpointView &endpoint) const {
  const auto now = Hooks.Now();
  const bool ordered =
      std::any_of(endpoint.Runs.begin(), endpoint.Runs.end(),
                  [this](const TaskKey &task_key) {
                    return findTaskState(task_key)->Phase == TaskPhase::Ordered;
                  });
  TimeMs end = endpoint.LastLeaseCall;
  if (ordered)
    end = std::max(end, now + EndpointView::MaxOrderTime);
  if (endpoint.RenewingLease)
    end = std::max(end, endpoint.LeaseCallsEnd);
  return end;
}

void Dispatcher::closeLeaseCalls(EndpointView &endpoint) {
  const TimeMs end = lastLeaseCallEnd(endpoint);
  if (end > endpoint.LastLeaseCall || endpoint.RenewingLease)
    endpoint.recordUnansweredCall(end, endpoint.Fence);
  endpoint.LastLeaseCall = end;
}

// A view that is removed takes with it what the leases of its calls were.
void Dispatcher::keepLeaseCalls(EndpointView &removed) {
  closeLeaseCalls(removed);
  for (const auto &row : RecordedStarts) {
    TaskState *state = findTaskState(row.first);
    if (!state)
      continue;
    const auto it = findLateStart(state->LateStarts, removed.Facts.Id);
    if (it == state->LateStarts.end() || isSettled(*it))
      continue;
    it->Since = std::max(it->Since, removed.LastLeaseCall);
    it->LastExecution =
        std::max(it->LastExecution, removed.lastLeaseCallExecution());
  }
}

bool Dispatcher::isLongRunning(const TaskKey &task_key) const {
  const auto *step = findStep(task_key);
  return step && step->LongRunning;
}

// An incarnation that is not known here may carry the order out, and then any
// call that extends the lease. Long-running tasks may be missing for a few
// seconds only: they wait for calls that are carried out after they were given
// up only while heartbeats show that the endpoint is there.
TimeMs Dispatcher::latestEnd(const TaskKey &task_key,
                             const LateStart &late) const {
  const auto it = Endpoints.find(late.Endpoint);
  const bool known = it != Endpoints.end();
  const TimeMs executed =
      known ? std::max(late.LastExecution, it->second.lastLeaseCallExecution())
            : late.LastExecution;
  const TimeMs contact = known ? std::max({late.Since, it->second.LastLeaseCall,
                                           it->second.LastHeard})
                               : late.Since;
  const TimeMs end = Terms.latestExpiry(executed);
  return isLongRunning(task_key) ? std::min(end, Terms.latestEnd(contact))
                                 : end;
}

bool Dispatcher::isOver(const TaskKey &task_key, const LateStart &late) const {
  return isSettled(late) || isExpired(task_key, late);
}

bool Dispatcher::isExpired(const TaskKey &task_key,
                           const LateStart &late) const {
  if (Ended.contains(late.Endpoint))
    return true;
  const auto now = Hooks.Now();
  return isSettled(late) ? now >= late.LastExecution
                         : now >= latestEnd(task_key, late);
}

// When they were sent is not known, as clocks of members may differ.
void Dispatcher::inheritLateStarts(const jobs::JobRecord &record,
                                   OpenJob &job) {
  const auto now = Hooks.Now();
  for (const auto &[index, endpoints] : record.UnansweredStarts) {
    for (const auto &id : endpoints)
      job.Tasks[index].LateStarts.push_back(
          {id, 0, 0, now, now + LateStart::MaxExecutionDelay});
    RecordedStarts[{record.Id, index}] = endpoints;
  }
}

// Orders that have no answer by then are recorded as unanswered, so that the
// next leader knows of them.
void Dispatcher::prepareHandOver(std::function<void()> done) {
  if (!isActive() || std::exchange(HandingOver, true)) {
    done();
    return;
  }
  OnHandOver = std::move(done);
  HandOverDue = Hooks.Now() + EndpointView::MaxOrderTime;
  handOverIfReady();
}

void Dispatcher::handOverIfReady() {
  if (!OnHandOver)
    return;
  std::vector<TaskKey> ordered;
  for (const auto &[id, job] : OpenJobs)
    for (size_t i = 0; job.Placed > 0 && i < job.Tasks.size(); ++i)
      if (job.Tasks[i].Phase == TaskPhase::Ordered)
        ordered.emplace_back(id, i);
  if (!ordered.empty() && Hooks.Now() < HandOverDue)
    return;
  for (const auto &task_key : ordered)
    addLateStart(task_key, findTaskState(task_key)->Endpoint);
  afterRecorded([done = std::exchange(OnHandOver, {})](bool) { done(); });
}

void Dispatcher::addLateStart(const TaskKey &task_key, const EndpointId &at,
                              bool given_up) {
  TaskState &state = *findTaskState(task_key);
  if (findStep(task_key)->AllowDuplicates)
    return;
  // A later leader has to wait as well.
  if (RecordedStarts[task_key].insert(at).second)
    recordEvent(jobs::StartUnanswered{task_key.first, task_key.second, at});
  auto it = findLateStart(state.LateStarts, at);
  if (it == state.LateStarts.end())
    it = state.LateStarts.insert(it, {at, 0, 0, Hooks.Now(), Hooks.Now()});
  // An earlier order for the task may be outstanding longer than this one.
  it->Run = std::max(it->Run, state.Run);
  it->Fence = std::max(it->Fence, state.Fence);
  const bool outstanding = state.Phase == TaskPhase::Ordered && !given_up;
  it->Since = std::max(it->Since,
                       Hooks.Now() + (outstanding ? EndpointView::MaxOrderTime
                                                  : core::DurationMs{0}));
  it->LastExecution =
      std::max(it->LastExecution, it->Since + LateStart::MaxExecutionDelay);
  const auto endpoint = Endpoints.find(at);
  if (endpoint == Endpoints.end())
    return;
  endpoint->second.LastUnanswered = it->Since;
  // The next renewal raises the token.
  endpoint->second.Suspect = true;
  endpoint->second.RenewDue = Hooks.Now();
  Pools.update(endpoint->second);
}

// The order was answered, by this incarnation or by one that is not known.
void Dispatcher::holdUnlistedRun(const TaskKey &task_key,
                                 const EndpointId &at) {
  TaskState &state = *findTaskState(task_key);
  const bool answered =
      state.Phase == TaskPhase::Running || state.Phase == TaskPhase::Stopping;
  if (!answered || !state.mayRunInNextIncarnation() ||
      findStep(task_key)->AllowDuplicates ||
      findLateStart(state.LateStarts, at) != state.LateStarts.end())
    return;
  if (RecordedStarts[task_key].insert(at).second)
    recordEvent(jobs::StartUnanswered{task_key.first, task_key.second, at});
  state.LateStarts.push_back(
      {at, state.Run, state.Fence, state.Since, state.Since});
}

// The endpoint has the run. That shows that the order was carried out unless
// another one for the run was sent, or it is still outstanding.
void Dispatcher::removeLateStart(TaskState &state, const EndpointId &at,
                                 int64_t run) {
  const auto it = findLateStart(state.LateStarts, at);
  if (it != state.LateStarts.end() && it->Run == run &&
      it->Fence == state.Fence && it->Since <= Hooks.Now())
    state.LateStarts.erase(it);
}

// Forgets the orders that no incarnation carries out any more, here and in the
// ledger, so that the next leader does not wait for them.
void Dispatcher::expireLateStarts() {
  for (auto &row : RecordedStarts) {
    const TaskKey &task_key = row.first;
    TaskState *state = findTaskState(task_key);
    if (!state)
      continue;
    std::erase_if(state->LateStarts, [&](const LateStart &late) {
      if (!isExpired(task_key, late))
        return false;
      logLateStartOver(task_key, late);
      return true;
    });
    std::erase_if(row.second, [&](const EndpointId &id) {
      if (findLateStart(state->LateStarts, id) != state->LateStarts.end())
        return false;
      recordEvent(
          jobs::StartUnanswered{task_key.first, task_key.second, id, true});
      return true;
    });
  }
  std::erase_if(RecordedStarts, [this](const auto &row) {
    return row.second.empty() || !findTaskState(row.first);
  });
  std::erase_if(Ended, [this](const auto &row) {
    return Terms.latestExpiry(row.second + LateStart::MaxExecutionDelay) <=
           Hooks.Now();
  });
}

void Dispatcher::logLateStartOver(const TaskKey &task_key,
                                  const LateStart &late) {
  const bool settled = isSettled(late);
  Hooks.IncrementCounter("unanswered_starts", "over",
                         settled ? "read" : "expired");
  std::string line = "unanswered start of task " + task_key.first.str() + "#" +
                     std::to_string(task_key.second) + " run " +
                     std::to_string(late.Run) + " at " + late.Endpoint.str() +
                     " token " + std::to_string(late.Fence) +
                     " is over after " +
                     std::to_string((Hooks.Now() - late.Since).Count) + " ms: ";
  const auto it = Endpoints.find(late.Endpoint);
  if (Ended.contains(late.Endpoint))
    line += "the endpoint's VM was restarted, or another one has its VM or its "
            "address";
  else if (settled)
    line += "incarnation " + std::to_string(it->second.Facts.BornMs) +
            " was read with token " +
            std::to_string(it->second.CompleteReadFence);
  else
    line += "not read since, carried out " +
            std::to_string((Hooks.Now() - late.LastExecution).Count) +
            " ms ago at the latest, and the longest lease has expired";
  Hooks.Log(line);
}

// Its VM was restarted, or another endpoint has its VM or its address and
// rejects what is meant for it: no call is carried out there any more.
void Dispatcher::recordEnded(const EndpointId &id, int64_t born_ms) {
  // A later incarnation under the id is not affected.
  const auto *newest = findNewestFacts(id);
  if (!newest || newest->BornMs <= born_ms)
    Ended.insert_or_assign(id, Hooks.Now());
  recordEvent(jobs::EndpointGone{id, born_ms});
}

bool Dispatcher::isLateStart(const TaskState &state, const EndpointId &at,
                             int64_t run) {
  const auto it = findLateStart(state.LateStarts, at);
  return it != state.LateStarts.end() && it->Run == run;
}

bool Dispatcher::mayBeInProgress(const TaskKey &task_key,
                                 const TaskState &state) const {
  if (state.LateStarts.empty() && OrphanCounts.empty())
    return false;
  const auto *record = jobs::findJob(Ledger, task_key.first);
  const auto task =
      jobs::taskAt(task_key.first, *record->Spec, task_key.second);
  // A run of it is being stopped.
  if (!record->Spec->Steps[task.Step].AllowDuplicates &&
      OrphanCounts.contains(task))
    return true;
  return std::any_of(
      state.LateStarts.begin(), state.LateStarts.end(),
      [&](const LateStart &late) { return !isOver(task_key, late); });
}

bool Dispatcher::mayBeInProgressAt(const jobs::TaskRef &task,
                                   const EndpointId &at) const {
  const OpenJob *job = findOpenJob(task.Job);
  const auto index =
      job ? jobs::indexOf(*job->Record->Spec, task) : std::nullopt;
  if (!index || !job->Record->isOpen() || job->Record->Tasks[*index].Done)
    return true;
  const TaskState &state = job->Tasks[*index];
  if (state.isPlaced() ? state.Endpoint == at
                       : state.Phase != TaskPhase::Waiting ||
                             (job->Inherited && !areEndpointsRead(*job)))
    return true;
  return mayBeInProgress({task.Job, *index}, state);
}

} // namespace almondgate::dispatch
