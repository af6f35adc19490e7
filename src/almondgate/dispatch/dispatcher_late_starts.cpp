#include "almondgate/dispatch/dispatcher.hpp"

#include "start_limit.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::TimeMs;
using jobs::EndpointId;

namespace {

// Starts of a task that one endpoint leaves unanswered before it gets no more.
constexpr int64_t MaxUnansweredTries = 4;
// Longer than an order waits for its answer.
constexpr core::DurationMs MaxHandOverWait{600};

auto findLateStart(auto &all, const EndpointId &at) {
  return std::find_if(all.begin(), all.end(), [&](const LateStart &late) {
    return late.Endpoint == at;
  });
}

} // namespace

// When an order that has not been answered by `since` is carried out at the
// latest. Work that must not be missing for long waits for the longest lease
// only.
TimeMs Dispatcher::latestLateStart(const TaskKey &task_key,
                                   TimeMs since) const {
  return findStep(task_key)->LongRunning
             ? LeaseClock::latestExpiry(since, Options.MaxLease)
             : since + Options.LateOrderLimit;
}

// None of the orders is carried out any more, and none that was carried out is
// in progress unseen.
bool Dispatcher::isOver(const TaskKey &task_key, const LateStart &late) const {
  const auto now = Hooks.Now();
  const TimeMs until = latestLateStart(task_key, late.Since);
  if (now < until)
    return false;
  const auto it = Endpoints.find(late.Endpoint);
  const bool seen = it != Endpoints.end() && it->second.LastRead > late.Since;
  return !seen || it->second.LastRead >= until ||
         now >= LeaseClock::latestExpiry(until, Options.MaxLease);
}

// When they were sent is not known, as clocks of members may differ.
void Dispatcher::inheritLateStarts(const jobs::JobRecord &record,
                                   OpenJob &job) {
  for (const auto &[index, endpoints] : record.UnansweredStarts) {
    for (const auto &id : endpoints)
      job.Tasks[index].LateStarts.push_back({id, 0, 1, Hooks.Now()});
    LateTasks.emplace(record.Id, index);
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
  HandOverDue = Hooks.Now() + MaxHandOverWait;
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

void Dispatcher::addLateStart(const TaskKey &task_key, const EndpointId &at) {
  TaskState &state = *findTaskState(task_key);
  if (findStep(task_key)->AllowDuplicates)
    return;
  // A later leader has to wait as well.
  const auto &recorded =
      jobs::findJob(Ledger, task_key.first)->UnansweredStarts;
  const auto row = recorded.find(task_key.second);
  if (row == recorded.end() || !row->second.contains(at))
    recordEvent(jobs::StartUnanswered{task_key.first, task_key.second, at});
  auto it = findLateStart(state.LateStarts, at);
  if (it == state.LateStarts.end())
    it = state.LateStarts.insert(it, {at, 0, 0, {}});
  it->Run = state.Run;
  ++it->Tries;
  it->Since = Hooks.Now();
  LateTasks.insert(task_key);
  const auto endpoint = Endpoints.find(at);
  if (endpoint != Endpoints.end())
    endpoint->second.LastUnanswered = it->Since;
}

void Dispatcher::removeLateStart(TaskState &state, const EndpointId &at,
                                 int64_t run) {
  if (state.LateStarts.empty())
    return;
  const bool sent_once = state.Run == run && !state.StartResent;
  const auto it = findLateStart(state.LateStarts, at);
  if (it != state.LateStarts.end() && it->Run == run && it->Tries == 1 &&
      sent_once)
    state.LateStarts.erase(it);
}

// Forgets the orders that are over, here and in the ledger.
void Dispatcher::expireLateStarts() {
  std::erase_if(LateTasks, [this](const TaskKey &task_key) {
    TaskState *state = findTaskState(task_key);
    if (!state)
      return true;
    std::erase_if(state->LateStarts, [&](const LateStart &late) {
      return isOver(task_key, late);
    });
    const auto &recorded =
        jobs::findJob(Ledger, task_key.first)->UnansweredStarts;
    const auto row = recorded.find(task_key.second);
    if (row == recorded.end())
      return state->LateStarts.empty();
    for (const auto &id : row->second)
      if (findLateStart(state->LateStarts, id) == state->LateStarts.end())
        recordEvent(
            jobs::StartUnanswered{task_key.first, task_key.second, id, true});
    return state->LateStarts.empty();
  });
  std::erase_if(Replaced, [this](const auto &row) {
    return row.second + Options.LateOrderLimit <= Hooks.Now();
  });
}

// Another endpoint has its VM or its address, and rejects what is meant for it.
void Dispatcher::recordReplaced(const EndpointId &id, int64_t born_ms) {
  Replaced.insert_or_assign(id, Hooks.Now());
  recordEvent(jobs::EndpointGone{id, born_ms});
}

bool Dispatcher::isLateStart(const TaskState &state, const EndpointId &at,
                             int64_t run) {
  const auto it = findLateStart(state.LateStarts, at);
  return it != state.LateStarts.end() && it->Run == run;
}

bool Dispatcher::mayRepeatStart(const TaskKey &task_key,
                                const TaskState &state) const {
  const auto at = Endpoints.find(state.Endpoint);
  return !findStep(task_key)->LongRunning && at != Endpoints.end() &&
         isUsable(at->second) &&
         isLateStart(state, state.Endpoint, state.Run) &&
         findLateStart(state.LateStarts, state.Endpoint)->Tries <
             MaxUnansweredTries;
}

// An endpoint that has left a start unanswered is given the task again rather
// than another one: whichever of its incarnations carries the old order out,
// the task then runs nowhere else. If it goes on like that, the task waits.
// Work that must not be missing for long goes elsewhere once the incarnation
// that is there carries nothing out any more.
Dispatcher::StartLimit Dispatcher::startLimit(const TaskKey &task_key,
                                              const TaskState &state) {
  if (state.LateStarts.empty() && OrphanCounts.empty())
    return {};
  const auto *record = jobs::findJob(Ledger, task_key.first);
  const auto task =
      jobs::taskAt(task_key.first, *record->Spec, task_key.second);
  const auto &step = record->Spec->Steps[task.Step];
  // A run of it is being stopped.
  if (!step.AllowDuplicates && OrphanCounts.contains(task))
    return {false, nullptr};
  std::set<EndpointView *> at;
  int64_t tries = 0;
  bool away = false;
  for (const LateStart &late : state.LateStarts) {
    if (isOver(task_key, late))
      continue;
    const auto it = Endpoints.find(late.Endpoint);
    if (it != Endpoints.end())
      at.insert(&it->second);
    else
      away = away || !Replaced.contains(late.Endpoint);
    tries += late.Tries;
  }
  if (away)
    return {false, nullptr};
  if (at.empty())
    return {};
  if (step.LongRunning) {
    const bool read = std::all_of(at.begin(), at.end(), [](const auto *row) {
      return row->InventoryRead && !row->Suspect;
    });
    return {read, nullptr};
  }
  const bool again =
      at.size() == 1 && tries < MaxUnansweredTries && isUsable(**at.begin());
  return {false, again ? *at.begin() : nullptr};
}

} // namespace almondgate::dispatch
