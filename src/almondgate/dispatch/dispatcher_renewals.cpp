#include "almondgate/dispatch/dispatcher.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;
using jobs::EndpointId;

namespace {

constexpr DurationMs MaxRestartDelay{1000};
constexpr int64_t RestartDelayStepMs = 100;
// A new leader reads nearly all endpoints within 100 ms; one that is cut off
// must not keep the others' VMs waiting.
constexpr DurationMs MaxInitialReadTime{1000};
// Endpoints of a new fleet announce themselves every 1.5 s.
constexpr DurationMs NewFleetDiscoveryTime{3200};

} // namespace

void Dispatcher::renew(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  const auto &facts = endpoint.Facts;
  RenewRequest request;
  request.Epoch = Epoch;
  request.LastSeen = endpoint.LastDurableEnd;
  // The lease of an endpoint that does not answer must be left to lapse.
  // So must that of one that is being given up: a lease given now would let
  // orders be carried out that are about to be taken for lapsed.
  if (endpoint.Lease.isClockKnown() && !facts.Idle && !endpoint.DeclaredLost &&
      !endpoint.Suspect)
    request.DeadlineMs = endpoint.Lease.grant(now, Options.Lease);
  // The first look reads what is there and does not wait; so does one that
  // decides about an order without an answer.
  if (endpoint.InventoryRead && !endpoint.Suspect &&
      !hasUnansweredStarts(endpoint))
    request.WaitMs = Options.RenewWait.Count;
  endpoint.Renewing = true;
  Hooks.Renew(facts, request,
              [this, id = facts.Id, born = facts.BornMs, sent = now,
               generation = Generation](const RenewReply &reply) {
                if (generation == Generation)
                  onRenewed(id, born, sent, reply);
              });
}

bool Dispatcher::hasUnansweredStarts(const EndpointView &endpoint) const {
  return std::any_of(
      endpoint.Runs.begin(), endpoint.Runs.end(), [this](const auto &task_key) {
        const OpenJob &job = OpenJobs.at(task_key.first);
        return job.Tasks[task_key.second].Phase == TaskPhase::Unanswered;
      });
}

void Dispatcher::onRenewed(const EndpointId &id, int64_t born, TimeMs sent,
                           const RenewReply &reply) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != born)
    return;
  EndpointView &endpoint = it->second;
  endpoint.Renewing = false;
  const auto now = Hooks.Now();
  endpoint.RenewDue = now + Options.RetryInterval;
  if (!isActive())
    return;
  const bool other_incarnation = reply.Result == OrderResult::Accepted &&
                                 born != 0 && reply.Inventory.BornMs != 0 &&
                                 reply.Inventory.BornMs != born;
  if (reply.Result == OrderResult::WrongIncarnation) {
    recordEvent(jobs::EndpointGone{id, born});
    endpoint.Suspect = true;
    return;
  }
  if (reply.Result != OrderResult::Accepted || other_incarnation) {
    if (!endpoint.Suspect)
      Hooks.Log(
          "endpoint " + id.str() + " can't be read: " +
          (other_incarnation ? "another life" : orderResultName(reply.Result)));
    endpoint.Suspect = true;
    return;
  }
  if (endpoint.Suspect || !endpoint.InventoryRead)
    Hooks.Log("endpoint " + id.str() + " read: " +
              std::to_string(reply.Inventory.Running.size()) + " runs, " +
              std::to_string(reply.Inventory.Ended.size()) + " ends");
  endpoint.Lease.observe(reply.Inventory.ClockMs, now);
  endpoint.Suspect = false;
  applyInventory(endpoint, sent, reply.Inventory);
  endpoint.InventoryRead = true;
  if (endpoint.Facts.Idle && endpoint.DeclaredLost)
    readmit(endpoint);
  const int64_t reported = endpoint.LastReadEnd;
  // Ends are acknowledged once they are durable; until then no look is open.
  endpoint.Renewing = true;
  afterRecorded([this, id, born, reported](bool durable) {
    const auto at = Endpoints.find(id);
    if (at == Endpoints.end() || at->second.Facts.BornMs != born)
      return;
    at->second.Renewing = false;
    if (!durable || !isActive())
      return;
    at->second.LastDurableEnd = std::max(at->second.LastDurableEnd, reported);
    renew(at->second);
  });
  schedulePass();
}

void Dispatcher::readmit(EndpointView &endpoint) {
  if (!endpoint.UnresolvedStarts.empty()) {
    stopUnresolvedStarts(endpoint);
    return;
  }
  auto facts = endpoint.Facts;
  facts.Idle = false;
  endpoint.DeclaredLost = false;
  recordEvent(jobs::EndpointRegistered{facts});
}

// A start that comes after the stop of its run is rejected.
void Dispatcher::stopUnresolvedStarts(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  for (auto &[key, sent] : endpoint.UnresolvedStarts) {
    if (now - sent < Options.RetryInterval)
      continue;
    sent = now;
    Hooks.IncrementCounter("stop_orders", "why", "given up");
    Hooks.Stop(
        endpoint.Facts, {key.first, key.second, Epoch},
        [this, key = key, id = endpoint.Facts.Id, born = endpoint.Facts.BornMs,
         generation = Generation](const OrderReply &reply) {
          EndpointView *at = generation == Generation
                                 ? findAnsweringIncarnation(id, born, reply)
                                 : nullptr;
          if (!at || reply.Result != OrderResult::Accepted)
            return;
          at->UnresolvedStarts.erase(key);
          if (at->UnresolvedStarts.empty() && at->Facts.Idle &&
              at->DeclaredLost)
            readmit(*at);
        });
  }
}

void Dispatcher::applyInventory(EndpointView &endpoint, TimeMs sent,
                                const RunInventory &inventory) {
  for (auto &[key, orphan] : endpoint.OrphanedRuns)
    orphan.Listed = false;
  for (const auto &report : inventory.Ended)
    if (report.Number > endpoint.LastReadEnd) {
      applyEnd(endpoint, report);
      endpoint.LastReadEnd = report.Number;
    }
  for (const auto &report : inventory.Running)
    applyRunning(endpoint, report);
  releaseMissingRuns(endpoint, sent, inventory);
  for (auto it = endpoint.OrphanedRuns.begin();
       it != endpoint.OrphanedRuns.end();) {
    if (it->second.Listed || it->second.StopSent >= sent) {
      ++it;
      continue;
    }
    endpoint.Used = endpoint.Used - it->second.Need;
    TeamUsage[it->second.Team] = TeamUsage[it->second.Team] - it->second.Need;
    it = endpoint.OrphanedRuns.erase(it);
  }
}

void Dispatcher::applyRunning(EndpointView &endpoint, const RunReport &report) {
  const auto *record = jobs::findJob(Ledger, report.Task.Job);
  const auto at =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  const auto open = OpenJobs.find(report.Task.Job);
  if (at && open != OpenJobs.end()) {
    const TaskKey task_key{report.Task.Job, *at};
    TaskState &state = open->second.Tasks[*at];
    const bool ours = state.Endpoint == endpoint.Facts.Id &&
                      state.Run == report.Run && state.isPlaced();
    const bool adopt = state.Phase == TaskPhase::Waiting && record->isOpen() &&
                       open->second.Inherited && report.Run > state.Run;
    if (adopt) {
      const auto &step = record->Spec->Steps[report.Task.Step];
      state.Phase = TaskPhase::Running;
      state.Endpoint = endpoint.Facts.Id;
      state.Run = report.Run;
      state.Since = Hooks.Now();
      open->second.Started = true;
      ++open->second.Placed;
      addRun(endpoint, task_key, step);
      TeamUsage[record->Team] = TeamUsage[record->Team] + step.Need;
    }
    if (ours || adopt) {
      if (state.Phase == TaskPhase::Ordered ||
          state.Phase == TaskPhase::Unanswered) {
        state.Phase = TaskPhase::Running;
        state.Since = Hooks.Now();
      }
      if (!report.Checkpoint.empty())
        state.Checkpoint = report.Checkpoint;
      state.Percent = report.Percent;
      state.Usage = report.Usage;
      return;
    }
  }
  const EndpointView::RunKey key{report.Task, report.Run};
  const auto [it, added] = endpoint.OrphanedRuns.try_emplace(key);
  it->second.Listed = true;
  if (added && at) {
    it->second.Need = requiredCapacity(record->Spec->Steps[report.Task.Step]);
    it->second.Team = record->Team;
    endpoint.Used = endpoint.Used + it->second.Need;
    TeamUsage[record->Team] = TeamUsage[record->Team] + it->second.Need;
  }
  stopOrphanedRun(endpoint, key);
}

void Dispatcher::applyEnd(EndpointView &endpoint, const EndReport &report) {
  const auto *record = jobs::findJob(Ledger, report.Task.Job);
  const auto at =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  if (!at)
    return;
  const TaskKey task_key{report.Task.Job, *at};
  TaskState *state = findTaskState(task_key);
  const bool ours = state && state->isPlaced() &&
                    state->Endpoint == endpoint.Facts.Id &&
                    state->Run == report.Run;
  const bool long_running = record->Spec->Steps[report.Task.Step].LongRunning;
  const bool conclusive = !long_running && (report.How == RunEnd::Done ||
                                            report.How == RunEnd::Failed);
  Hooks.Log("task " + report.Task.Job.str() + "#" + std::to_string(*at) +
            " run " + std::to_string(report.Run) + " at " +
            endpoint.Facts.Id.str() + " ended " + runEndName(report.How));
  Hooks.IncrementCounter("run_ends", "how", runEndName(report.How));
  if (report.How == RunEnd::Failed)
    ++endpoint.FailuresInRow;
  if (report.How == RunEnd::Done)
    endpoint.FailuresInRow = 0;
  if (ours && report.How == RunEnd::Done && !long_running &&
      state->Phase == TaskPhase::Running && state->Checkpoint.empty())
    RunTimes[record->Queue].observe(
        record->Spec->Steps[report.Task.Step].EstimateMs,
        (Hooks.Now() - state->Since).Count);
  if (state)
    state->Run = std::max(state->Run, report.Run);
  if (ours) {
    if (!report.Checkpoint.empty())
      state->Checkpoint = report.Checkpoint;
    if (report.How == RunEnd::Failed && long_running)
      state->NotBefore =
          Hooks.Now() +
          std::min(MaxRestartDelay,
                   DurationMs{RestartDelayStepMs * endpoint.FailuresInRow});
    releaseTask(task_key, conclusive ? TaskPhase::Ending : TaskPhase::Waiting);
  } else if (conclusive && state && state->Phase == TaskPhase::Waiting) {
    state->Phase = TaskPhase::Ending;
  }
  if (conclusive && record->isOpen())
    this->recordEvent(jobs::TaskEnded{report.Task.Job, *at, report.Run,
                                      report.How == RunEnd::Done,
                                      Hooks.WallClock()});
}

// A run whose order was answered before the look was asked for, and which is
// in neither list, is not listed. One whose orders got no answer may still
// come.
void Dispatcher::releaseMissingRuns(EndpointView &endpoint, TimeMs sent,
                                    const RunInventory &inventory) {
  std::set<EndpointView::RunKey> listed;
  for (const auto &report : inventory.Running)
    listed.emplace(report.Task, report.Run);
  const auto task_keys = endpoint.Runs;
  for (const auto &task_key : task_keys) {
    TaskState &state = *findTaskState(task_key);
    const auto *record = jobs::findJob(Ledger, task_key.first);
    const auto task =
        jobs::taskAt(task_key.first, *record->Spec, task_key.second);
    if (listed.contains({task, state.Run}) || state.Since >= sent)
      continue;
    if (state.Phase == TaskPhase::Unanswered) {
      if (!endpoint.DeclaredLost)
        resolveUnansweredStart(task_key, state);
      continue;
    }
    const bool answered =
        state.Phase == TaskPhase::Running ||
        (state.Phase == TaskPhase::Stopping && state.StopAcknowledged);
    if (!answered)
      continue;
    Hooks.Log("task " + task_key.first.str() + "#" +
              std::to_string(task_key.second) + " run " +
              std::to_string(state.Run) + " is no longer at " +
              endpoint.Facts.Id.str());
    releaseTask(task_key, TaskPhase::Waiting);
  }
}

// The endpoint, in the life that was asked, does not have the run. Sent again,
// the order is harmless where the first copy comes late.
void Dispatcher::resolveUnansweredStart(const TaskKey &task_key,
                                        TaskState &state) {
  if (std::exchange(state.StartResent, true)) {
    stopTask(task_key, "unanswered start");
    return;
  }
  state.Phase = TaskPhase::Ordered;
  state.Since = Hooks.Now();
  sendStart(task_key);
}

void Dispatcher::releaseLostRuns(EndpointView &endpoint) {
  const auto task_keys = endpoint.Runs;
  for (const auto &task_key : task_keys)
    releaseTask(task_key, TaskPhase::Waiting);
  for (const auto &[key, orphan] : endpoint.OrphanedRuns)
    TeamUsage[orphan.Team] = TeamUsage[orphan.Team] - orphan.Need;
  endpoint.OrphanedRuns.clear();
  endpoint.Used = {};
  for (size_t i = 0; i < task_keys.size(); ++i)
    Hooks.IncrementCounter("run_ends", "how", "lost");
  if (!task_keys.empty())
    Hooks.Log("endpoint " + endpoint.Facts.Id.str() + " lost " +
              std::to_string(task_keys.size()) + " runs");
}

void Dispatcher::declareLostIfLapsed(EndpointView &endpoint) {
  const bool lapsed = endpoint.Suspect && !endpoint.Facts.Idle &&
                      !endpoint.DeclaredLost &&
                      !endpoint.Lease.mayBeValid(Hooks.Now());
  if (!lapsed)
    return;
  endpoint.DeclaredLost = true;
  Hooks.Log("endpoint " + endpoint.Facts.Id.str() +
            " was out of reach until its lease lapsed");
  recordEvent(jobs::EndpointIdled{endpoint.Facts.Id, endpoint.Facts.BornMs});
}

bool Dispatcher::isFleetRead() const {
  const auto passed = Hooks.Now() - LeadingSince;
  if (FleetWasEmpty)
    return passed >= NewFleetDiscoveryTime;
  return passed >= MaxInitialReadTime ||
         std::none_of(Endpoints.begin(), Endpoints.end(),
                      [](const auto &row) { return row.second.isUnread(); });
}

bool Dispatcher::isPoolRead(const core::PoolId &pool) const {
  return std::none_of(Endpoints.begin(), Endpoints.end(), [&](const auto &row) {
    const EndpointView &endpoint = row.second;
    return endpoint.Facts.Pool == pool && endpoint.isUnread();
  });
}

} // namespace almondgate::dispatch
