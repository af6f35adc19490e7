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

auto findLateStart(std::vector<LateStart> &all, const EndpointId &at,
                   int64_t run) {
  return std::find_if(all.begin(), all.end(), [&](const LateStart &late) {
    return late.Endpoint == at && late.Run == run;
  });
}

} // namespace

void Dispatcher::addLateStart(const TaskKey &task_key, const EndpointId &at) {
  TaskState &state = *findTaskState(task_key);
  const auto *step = findStep(task_key);
  if (step->AllowDuplicates)
    return;
  // A task that must not be missing for long waits for the longest lease only.
  const TimeMs until =
      step->LongRunning
          ? LeaseClock::latestExpiry(Hooks.Now(), Options.MaxLease)
          : Hooks.Now() + Options.LateOrderLimit;
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
