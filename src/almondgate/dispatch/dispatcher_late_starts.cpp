#include "almondgate/dispatch/dispatcher.hpp"

#include "start_limit.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::TimeMs;
using jobs::EndpointId;

namespace {

// Starts of a task that one endpoint leaves unanswered before the task is given
// to another.
constexpr int64_t MaxUnansweredTries = 4;
// Longer than an order waits for its answer.
constexpr core::DurationMs MaxHandOverWait{600};

auto findLateStart(std::vector<LateStart> &all, const EndpointId &at,
                   int64_t run) {
  return std::find_if(all.begin(), all.end(), [&](const LateStart &late) {
    return late.Endpoint == at && late.Run == run;
  });
}

} // namespace

// Work that must not be missing for long waits for the longest lease only.
TimeMs Dispatcher::latestLateStart(const jobs::StepSpec &step) const {
  return step.LongRunning
             ? LeaseClock::latestExpiry(Hooks.Now(), Options.MaxLease)
             : Hooks.Now() + Options.LateOrderLimit;
}

// When they were sent is not known, as clocks of members may differ.
void Dispatcher::inheritLateStarts(const jobs::JobRecord &record,
                                   OpenJob &job) const {
  for (const auto &[index, endpoints] : record.UnansweredStarts) {
    const auto task = jobs::taskAt(record.Id, *record.Spec, index);
    const TimeMs until = latestLateStart(record.Spec->Steps[task.Step]);
    for (const auto &id : endpoints)
      job.Tasks[index].LateStarts.push_back({id, 0, 1, until});
  }
}

// Orders that have no answer by then are recorded as unanswered, so that the
// next leader knows of them.
void Dispatcher::prepareHandOver(std::function<void()> done) {
  if (!isActive() || OnHandOver) {
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
  const auto *step = findStep(task_key);
  if (step->AllowDuplicates)
    return;
  const TimeMs until = latestLateStart(*step);
  // A later leader has to wait as well.
  const auto &recorded =
      jobs::findJob(Ledger, task_key.first)->UnansweredStarts;
  const auto row = recorded.find(task_key.second);
  if (row == recorded.end() || !row->second.contains(at))
    recordEvent(jobs::StartUnanswered{task_key.first, task_key.second, at});
  auto it = findLateStart(state.LateStarts, at, state.Run);
  if (it == state.LateStarts.end())
    it = state.LateStarts.insert(it, {at, state.Run, 0, until});
  ++it->Tries;
  it->Until = std::max(it->Until, until);
}

void Dispatcher::removeLateStart(TaskState &state, const EndpointId &at,
                                 int64_t run) {
  const bool sent_once = state.Run == run && !state.StartResent;
  const auto it = findLateStart(state.LateStarts, at, run);
  if (it != state.LateStarts.end() && it->Tries == 1 && sent_once)
    state.LateStarts.erase(it);
}

bool Dispatcher::isLateStart(const TaskState &state, const EndpointId &at,
                             int64_t run) {
  return std::any_of(state.LateStarts.begin(), state.LateStarts.end(),
                     [&](const LateStart &late) {
                       return late.Endpoint == at && late.Run == run;
                     });
}

bool Dispatcher::mayRepeatStart(const TaskState &state) const {
  const auto at = Endpoints.find(state.Endpoint);
  return at != Endpoints.end() && isUsable(at->second) &&
         std::any_of(state.LateStarts.begin(), state.LateStarts.end(),
                     [&](const LateStart &late) {
                       return late.Endpoint == state.Endpoint &&
                              late.Run == state.Run &&
                              late.Tries < MaxUnansweredTries;
                     });
}

bool Dispatcher::hasOrphan(const EndpointView &endpoint,
                           const TaskKey &task_key) const {
  return std::any_of(
      endpoint.OrphanedRuns.begin(), endpoint.OrphanedRuns.end(),
      [&](const auto &row) {
        const auto *record = jobs::findJob(Ledger, task_key.first);
        return row.first.first ==
               jobs::taskAt(task_key.first, *record->Spec, task_key.second);
      });
}

// An endpoint that has left a start unanswered is given the task again rather
// than another one: whichever of its incarnations carries the old order out,
// the task then runs nowhere else.
Dispatcher::StartLimit Dispatcher::startLimit(const TaskKey &task_key,
                                              TaskState &state) {
  if (state.LateStarts.empty())
    return {};
  const auto now = Hooks.Now();
  std::erase_if(state.LateStarts,
                [now](const LateStart &late) { return late.Until <= now; });
  std::set<EndpointView *> at;
  int64_t tries = 0;
  for (const LateStart &late : state.LateStarts) {
    const auto it = Endpoints.find(late.Endpoint);
    // An endpoint that another one has replaced carries nothing out.
    if (it == Endpoints.end())
      continue;
    at.insert(&it->second);
    tries = std::max(tries, late.Tries);
  }
  if (at.empty())
    return {};
  const bool stopping = std::any_of(at.begin(), at.end(), [&](const auto *row) {
    return hasOrphan(*row, task_key);
  });
  if (stopping)
    return {false, nullptr};
  EndpointView *only = at.size() == 1 ? *at.begin() : nullptr;
  if (only && tries < MaxUnansweredTries)
    return {false, isUsable(*only) ? only : nullptr};
  const bool all_read = std::all_of(at.begin(), at.end(), [](const auto *row) {
    return row->InventoryRead && !row->Suspect;
  });
  return {all_read, nullptr};
}

} // namespace almondgate::dispatch
