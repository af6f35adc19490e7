#include "almondgate/dispatch/dispatcher.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;

namespace {

constexpr DurationMs MaxRestartDelay{1000};
constexpr int64_t RestartDelayStepMs = 100;
constexpr DurationMs UnansweredBackOff{1000};

} // namespace

void Dispatcher::applyInventory(EndpointView &endpoint, TimeMs sent,
                                const RunInventory &inventory) {
  for (auto &[key, orphan] : endpoint.OrphanedRuns)
    orphan.Listed = false;
  endpoint.MissingUntil = {INT64_MIN / 2};
  for (const auto &report : inventory.Ended)
    if (report.Number > endpoint.LastReadEnd) {
      applyEnd(endpoint, report);
      endpoint.LastReadEnd = report.Number;
    }
  ++Inventories;
  size_t listed = 0;
  for (const auto &report : inventory.Running)
    listed += applyRunning(endpoint, report) ? 1 : 0;
  // A run that is not listed may be among the ends that are still to be read.
  if (inventory.MoreEnds)
    return;
  if (listed < endpoint.Runs.size())
    releaseMissingRuns(endpoint, sent);
  for (auto it = endpoint.OrphanedRuns.begin();
       it != endpoint.OrphanedRuns.end();) {
    OrphanedRun &orphan = it->second;
    const bool stays =
        orphan.Listed || orphan.StopSent >= sent ||
        (!orphan.Ended && mayBeEnding(endpoint, orphan.MissingSince, sent));
    if (stays) {
      ++it;
      continue;
    }
    endpoint.Used = endpoint.Used - it->second.Need;
    Pools.update(endpoint);
    releaseOrphan(it->first, it->second);
    it = endpoint.OrphanedRuns.erase(it);
  }
}

bool Dispatcher::applyRunning(EndpointView &endpoint, const RunReport &report) {
  OpenJob *open = findOpenJob(report.Task.Job);
  const auto *record =
      open ? open->Record : jobs::findJob(Ledger, report.Task.Job);
  const auto task_index =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  if (task_index && open) {
    TaskState &state = open->Tasks[*task_index];
    const bool is_current = state.Endpoint == endpoint.Facts.Id &&
                            state.Run == report.Run && state.isPlaced();
    const bool inherited = open->Inherited && report.Run > state.Run;
    const bool late = report.Run == state.Run &&
                      isLateStart(state, endpoint.Facts.Id, report.Run);
    const bool adopt = state.Phase == TaskPhase::Waiting && record->isOpen() &&
                       (inherited || late);
    if (adopt) {
      const auto &step = record->Spec->Steps[report.Task.Step];
      Loads.setPhase(*open, *task_index, TaskPhase::Running);
      state.Endpoint = endpoint.Facts.Id;
      state.Run = report.Run;
      state.Since = Hooks.Now();
      state.Inherited = true;
      addRun(endpoint, {report.Task.Job, *task_index}, step);
      Pools.update(endpoint);
      TeamUsage[record->Team] = TeamUsage[record->Team] + step.Need;
    }
    if (is_current || adopt) {
      recordStarted(*open);
      removeLateStart(state, endpoint.Facts.Id, report.Run);
      state.Listed = true;
      state.MissingSince.reset();
      if (state.Phase == TaskPhase::Ordered ||
          state.Phase == TaskPhase::Unanswered) {
        Loads.setPhase(*open, *task_index, TaskPhase::Running);
        state.Since = Hooks.Now();
      }
      if (!report.Checkpoint.empty())
        state.Checkpoint = report.Checkpoint;
      state.Percent = report.Percent;
      state.Usage = report.Usage;
      return std::exchange(state.ListedIn, Inventories) != Inventories;
    }
  }
  const EndpointView::RunKey key{report.Task, report.Run};
  const auto [it, added] = endpoint.OrphanedRuns.try_emplace(key);
  it->second.Listed = true;
  it->second.MissingSince.reset();
  if (added)
    ++OrphanCounts[report.Task];
  if (added && task_index) {
    it->second.Need = requiredCapacity(record->Spec->Steps[report.Task.Step]);
    it->second.Team = record->Team;
    endpoint.Used = endpoint.Used + it->second.Need;
    Pools.update(endpoint);
    TeamUsage[record->Team] = TeamUsage[record->Team] + it->second.Need;
  }
  stopOrphanedRun(endpoint, key);
  return false;
}

void Dispatcher::applyEnd(EndpointView &endpoint, const EndReport &report) {
  const OpenJob *open = findOpenJob(report.Task.Job);
  const auto *record =
      open ? open->Record : jobs::findJob(Ledger, report.Task.Job);
  const auto task_index =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  if (!task_index)
    return;
  const auto orphan = endpoint.OrphanedRuns.find({report.Task, report.Run});
  if (orphan != endpoint.OrphanedRuns.end())
    orphan->second.Ended = true;
  const TaskKey task_key{report.Task.Job, *task_index};
  TaskState *state = findTaskState(task_key);
  const bool is_current = state && state->isPlaced() &&
                          state->Endpoint == endpoint.Facts.Id &&
                          state->Run == report.Run;
  const bool long_running = record->Spec->Steps[report.Task.Step].LongRunning;
  const bool conclusive = !long_running && (report.How == RunEnd::Done ||
                                            report.How == RunEnd::Failed);
  Hooks.Log("task " + report.Task.Job.str() + "#" +
            std::to_string(*task_index) + " run " + std::to_string(report.Run) +
            " at " + endpoint.Facts.Id.str() +
            " ended: " + runEndName(report.How));
  Hooks.IncrementCounter("run_ends", "how", runEndName(report.How));
  if (report.How == RunEnd::Failed)
    ++endpoint.FailuresInRow;
  if (report.How == RunEnd::Done)
    endpoint.FailuresInRow = 0;
  if (is_current && report.How == RunEnd::Done && !long_running &&
      state->Phase == TaskPhase::Running && state->Checkpoint.empty()) {
    const auto &step = record->Spec->Steps[report.Task.Step];
    const int64_t ran_ms = (Hooks.Now() - state->Since).Count;
    ColdStarts.onRunDone(endpoint, state->Since, ran_ms,
                         runTimeEstimator(record->Queue)(step));
    RunTimes[record->Queue].observe(step.EstimateMs, ran_ms);
    RemoteShares[record->Queue].observe(state->Remote);
  }
  if (state) {
    recordStarted(*findOpenJob(task_key.first));
    state->Run = std::max(state->Run, report.Run);
    removeLateStart(*state, endpoint.Facts.Id, report.Run);
  }
  if (is_current) {
    if (!report.Checkpoint.empty())
      state->Checkpoint = report.Checkpoint;
    if (report.How == RunEnd::Failed && long_running)
      state->NotBefore =
          Hooks.Now() +
          std::min(MaxRestartDelay,
                   DurationMs{RestartDelayStepMs * endpoint.FailuresInRow});
    releaseTask(task_key, conclusive ? TaskPhase::Ending : TaskPhase::Waiting);
  } else if (conclusive && state && state->Phase == TaskPhase::Waiting) {
    setPhase(task_key, TaskPhase::Ending);
  }
  if (conclusive && record->isOpen())
    this->recordEvent(jobs::TaskEnded{report.Task.Job, *task_index, report.Run,
                                      report.How == RunEnd::Done,
                                      Hooks.WallClock()});
}

// An endpoint may leave a run out of its inventory while it is ending it.
// Returns whether one may still be ending that is missing from the inventory
// requested at `sent` and from all others since `since`.
bool Dispatcher::mayBeEnding(EndpointView &endpoint,
                             std::optional<TimeMs> &since, TimeMs sent) const {
  if (!since)
    since = sent;
  const TimeMs until = *since + Options.RunStopTimeout;
  endpoint.MissingUntil = std::max(endpoint.MissingUntil, until);
  return sent < until;
}

// Releases the runs that the endpoint no longer has: the last order for each
// was answered before the inventory was requested, and the inventory lists it
// neither as running nor as ended. The inventory must list all ends. A run
// whose orders got no answer may still start.
void Dispatcher::releaseMissingRuns(EndpointView &endpoint, TimeMs sent) {
  std::vector<TaskKey> missing;
  for (const auto &task_key : endpoint.Runs) {
    const TaskState &state = *findTaskState(task_key);
    if (state.ListedIn != Inventories && state.Since < sent)
      missing.push_back(task_key);
  }
  size_t released = 0;
  std::string first;
  for (const auto &task_key : missing) {
    TaskState &state = *findTaskState(task_key);
    if (state.Phase == TaskPhase::Unanswered) {
      if (!endpoint.DeclaredLost)
        resolveUnansweredStart(task_key, state);
      continue;
    }
    const bool answered =
        state.Phase == TaskPhase::Running ||
        (state.Phase == TaskPhase::Stopping && state.StopAcknowledged);
    if (!answered || mayBeEnding(endpoint, state.MissingSince, sent))
      continue;
    if (released++ == 0)
      first = "task " + task_key.first.str() + "#" +
              std::to_string(task_key.second) + " run " +
              std::to_string(state.Run) + " of " +
              std::to_string((Hooks.Now() - state.Since).Count) + " ms ago";
    releaseTask(task_key, TaskPhase::Waiting);
  }
  if (released > 0)
    Hooks.Log(describeIncarnation(endpoint) + ": " + std::to_string(released) +
              " runs not in the inventory requested " +
              std::to_string((Hooks.Now() - sent).Count) + " ms ago, such as " +
              first);
}

// The incarnation that answered does not have the run, and its fencing token
// keeps it from carrying the order out late. The start is sent again once, with
// the same run number, as the members of a gang need it.
void Dispatcher::resolveUnansweredStart(const TaskKey &task_key,
                                        TaskState &state) {
  if (HandingOver)
    return;
  const bool again = std::exchange(state.StartResent, true);
  // It answers renewals, but no start: other endpoints come first.
  if (again)
    Endpoints.at(state.Endpoint).BackOffUntil = Hooks.Now() + UnansweredBackOff;
  if (again || isInEvacuatedZone(state)) {
    releaseTask(task_key, TaskPhase::Waiting);
    return;
  }
  setPhase(task_key, TaskPhase::Ordered);
  state.Since = Hooks.Now();
  sendStart(task_key);
}

void Dispatcher::releaseLostRuns(EndpointView &endpoint,
                                 const std::string &reason) {
  const auto task_keys = endpoint.Runs;
  for (const auto &task_key : task_keys) {
    if (findTaskState(task_key)->Phase == TaskPhase::Ordered)
      addLateStart(task_key, endpoint.Facts.Id);
    releaseTask(task_key, TaskPhase::Waiting);
  }
  for (const auto &[key, orphan] : endpoint.OrphanedRuns)
    releaseOrphan(key, orphan);
  endpoint.OrphanedRuns.clear();
  endpoint.Used = {};
  Pools.update(endpoint);
  for (size_t i = 0; i < task_keys.size(); ++i)
    Hooks.IncrementCounter("run_ends", "how", "lost");
  if (!task_keys.empty())
    Hooks.Log(describeIncarnation(endpoint) + ": " +
              std::to_string(task_keys.size()) + " runs lost (" + reason +
              "); " + describeContact(endpoint));
}

std::string Dispatcher::describeIncarnation(const EndpointView &endpoint) {
  return "endpoint " + endpoint.Facts.Id.str() + " incarnation " +
         std::to_string(endpoint.Facts.BornMs);
}

// The times that decide whether a run may still be in progress there.
std::string Dispatcher::describeContact(const EndpointView &endpoint) const {
  const auto now = Hooks.Now();
  const auto ago = [now](TimeMs at) {
    return at == TimeMs{INT64_MIN / 2}
               ? std::string("never")
               : std::to_string((now - at).Count) + " ms ago";
  };
  return endpoint.Lease.describe(now) + "; last lease call " +
         ago(endpoint.LastLeaseCall) + ", last unanswered start " +
         ago(endpoint.LastUnanswered) + ", last complete read " +
         ago(endpoint.LastCompleteRead) + " with token " +
         std::to_string(endpoint.CompleteReadFence);
}

void Dispatcher::releaseOrphan(const EndpointView::RunKey &key,
                               const OrphanedRun &orphan) {
  TeamUsage[orphan.Team] = TeamUsage[orphan.Team] - orphan.Need;
  const auto it = OrphanCounts.find(key.first);
  if (--it->second == 0)
    OrphanCounts.erase(it);
}

void Dispatcher::releaseExpiredRuns(EndpointView &endpoint) {
  size_t released = 0;
  const auto task_keys = endpoint.Runs;
  // A next incarnation whose clock is taken for this one's may be this far
  // behind it.
  const bool expired_behind =
      !endpoint.Lease.mayHoldRuns(Hooks.Now(), LeaseClock::LowerTolerance);
  for (const auto &task_key : task_keys) {
    const TaskState &state = *findTaskState(task_key);
    const bool ended =
        !state.mayRunInNextIncarnation() || (state.Confirmed && expired_behind);
    if (!ended)
      continue;
    releaseTask(task_key, TaskPhase::Waiting);
    Hooks.IncrementCounter("run_ends", "how", "lost");
    ++released;
  }
  if (released > 0)
    Hooks.Log(describeIncarnation(endpoint) + ": " + std::to_string(released) +
              " runs lost with its lease, " +
              std::to_string(endpoint.Runs.size()) +
              " may be in progress in a next incarnation; " +
              describeContact(endpoint));
}

} // namespace almondgate::dispatch
