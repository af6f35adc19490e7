#include "almondgate/dispatch/dispatcher.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;
using jobs::EndpointId;

namespace {

constexpr DurationMs MaxRestartDelay{1000};
// A call fails this soon only if its connection is refused or reset.
constexpr DurationMs QuickFailure{50};
// How long a renewal waits for the ends of the one before to become durable.
constexpr DurationMs MaxRenewalDelay{500};
constexpr int64_t RestartDelayStepMs = 100;
// A new leader reads nearly all endpoints within 100 ms. An unreachable
// endpoint must not delay the maintenance and moves of the other VMs for longer
// than this.
constexpr DurationMs MaxInitialReadTime{1000};
// Endpoints of a new fleet send a heartbeat every 1.5 s.
constexpr DurationMs NewFleetDiscoveryTime{3200};

} // namespace

void Dispatcher::renew(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  const auto &facts = endpoint.Facts;
  const bool unanswered_starts = hasUnansweredStarts(endpoint);
  // Late orders of before have no effect once this renewal has been answered,
  // by whichever incarnation.
  if ((endpoint.Suspect || unanswered_starts) &&
      std::exchange(endpoint.FenceUsed, false))
    endpoint.Fence = Fences.next();
  RenewRequest request;
  request.Epoch = endpoint.Fence;
  // Another incarnation may have answered instead of the suspected one, and
  // would forget ends of its own.
  if (!endpoint.Suspect && endpoint.LastDurableEnd > endpoint.AcknowledgedEnd)
    request.LastSeen = endpoint.LastDurableEnd;
  // The lease of an unresponsive endpoint must be left to expire, and so must
  // that of one that is being declared lost: a lease granted now would let the
  // endpoint carry out orders that are about to be considered expired.
  if (endpoint.Lease.isClockKnown() && !facts.Idle && !endpoint.DeclaredLost &&
      !endpoint.Suspect) {
    request.DeadlineMs = endpoint.Lease.grant(now, Options.Lease);
    endpoint.LastLeaseCall = now;
  }
  // The first renewal, and one that decides about an unanswered start, must be
  // answered at once; the others may wait for a run to end.
  if (endpoint.InventoryRead && !endpoint.Suspect && !unanswered_starts)
    request.WaitMs = renewWait(endpoint).Count;
  endpoint.Renewing = true;
  Hooks.Renew(facts, request,
              [this, id = facts.Id, born_ms = facts.BornMs, sent = now, request,
               generation = Generation](const RenewReply &reply) {
                if (generation == Generation)
                  onRenewed(id, born_ms, sent, request, reply);
              });
}

// The earlier leader's stops must be known before budgets can be spent.
DurationMs Dispatcher::renewWait(const EndpointView &endpoint) const {
  const DurationMs left = remainingInheritedStopTime(endpoint);
  return endpoint.LongRunningCount > 0 && left.Count > 0
             ? std::min(Options.RenewWait, left)
             : Options.RenewWait;
}

bool Dispatcher::hasUnansweredStarts(const EndpointView &endpoint) const {
  return std::any_of(
      endpoint.Runs.begin(), endpoint.Runs.end(), [this](const auto &task_key) {
        const OpenJob &job = OpenJobs.at(task_key.first);
        return job.Tasks[task_key.second].Phase == TaskPhase::Unanswered;
      });
}

void Dispatcher::onRenewed(const EndpointId &id, int64_t born_ms, TimeMs sent,
                           const RenewRequest &request,
                           const RenewReply &reply) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != born_ms)
    return;
  EndpointView &endpoint = it->second;
  endpoint.Renewing = false;
  const auto now = Hooks.Now();
  if (request.DeadlineMs > 0)
    endpoint.LastLeaseCall = now;
  endpoint.RenewDue = now + Options.RetryInterval;
  if (!isActive())
    return;
  const bool other_incarnation = reply.Result == OrderResult::Accepted &&
                                 born_ms != 0 && reply.Inventory.BornMs != 0 &&
                                 reply.Inventory.BornMs != born_ms;
  if (reply.Result == OrderResult::WrongIncarnation) {
    recordReplaced(id, born_ms);
    endpoint.Suspect = true;
    return;
  }
  Hooks.IncrementCounter("renewals", "result",
                         other_incarnation ? "other-incarnation"
                                           : orderResultName(reply.Result));
  if (reply.Result != OrderResult::Accepted || other_incarnation) {
    if (other_incarnation)
      Hooks.Log("endpoint " + id.str() + " incarnation " +
                std::to_string(reply.Inventory.BornMs) +
                " answered a renewal for incarnation " +
                std::to_string(born_ms) + " with deadline " +
                std::to_string(request.DeadlineMs) + "; its clock shows " +
                std::to_string(reply.Inventory.ClockMs) + ", " +
                std::to_string(reply.Inventory.Running.size()) + " running");
    else if (!endpoint.Suspect)
      Hooks.Log("endpoint " + id.str() +
                " could not be read: " + orderResultName(reply.Result));
    endpoint.Suspect = true;
    // A later call with a higher token may have overtaken this one.
    if (reply.Result == OrderResult::Fenced)
      endpoint.Fence = Fences.next();
    // The endpoint's process is gone. Its next incarnation is to be called
    // before it carries out a late start.
    if (now - sent < QuickFailure &&
        now - endpoint.LastUnanswered < Options.LateOrderLimit)
      endpoint.RenewDue = now;
    // Until the new incarnation registers, the next renewal keeps it from
    // carrying out late orders that were given before.
    if (other_incarnation &&
        endpoint.SuccessorBornMs != reply.Inventory.BornMs) {
      endpoint.SuccessorBornMs = reply.Inventory.BornMs;
      endpoint.Fence = Fences.next();
      endpoint.RenewDue = now;
    }
    return;
  }
  if (endpoint.Suspect || !endpoint.InventoryRead)
    Hooks.Log("endpoint " + id.str() + " incarnation " +
              std::to_string(born_ms) + " read, token " +
              std::to_string(request.Epoch) + ", its clock shows " +
              std::to_string(reply.Inventory.ClockMs) + ": " +
              std::to_string(reply.Inventory.Running.size()) + " running, " +
              std::to_string(reply.Inventory.Ended.size()) + " ended" +
              (reply.Inventory.MoreEnds ? ", more to read" : ""));
  endpoint.Lease.observe(reply.Inventory.ClockMs, now);
  endpoint.Suspect = false;
  endpoint.AcknowledgedEnd =
      std::max(endpoint.AcknowledgedEnd, request.LastSeen);
  // Until now, the incarnation may have carried out calls of earlier leaders or
  // for a former incarnation; its fencing token rules them out from here on.
  if (!endpoint.FirstReadClockMs) {
    endpoint.FirstReadClockMs = reply.Inventory.ClockMs;
    endpoint.Lease.assumeValidUntil(
        LeaseClock::latestExpiry(now, Options.MaxLease));
  }
  endpoint.LastReadClockMs = reply.Inventory.ClockMs;
  endpoint.LastRead = std::max(endpoint.LastRead, sent);
  applyInventory(endpoint, sent, reply.Inventory);
  endpoint.InventoryRead = endpoint.InventoryRead || !reply.Inventory.MoreEnds;
  if (endpoint.Facts.Idle && endpoint.DeclaredLost)
    readmit(endpoint);
  const int64_t reported = endpoint.LastReadEnd;
  // Ends are acknowledged to the endpoint once they are durable. If that takes
  // long, the lease is renewed before.
  endpoint.RenewDue = now + MaxRenewalDelay;
  afterRecorded([this, id, born_ms, reported](bool durable) {
    const auto at = Endpoints.find(id);
    if (at == Endpoints.end() || at->second.Facts.BornMs != born_ms ||
        !durable || !isActive())
      return;
    at->second.LastDurableEnd = std::max(at->second.LastDurableEnd, reported);
    if (!at->second.Renewing)
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

// An endpoint rejects a start that arrives after the stop of its run.
void Dispatcher::stopUnresolvedStarts(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  for (auto &[key, sent] : endpoint.UnresolvedStarts) {
    if (now - sent < Options.RetryInterval)
      continue;
    sent = now;
    Hooks.IncrementCounter("stop_orders", "why", "given up");
    Hooks.Stop(endpoint.Facts, {key.first, key.second, endpoint.Fence},
               makeLeaderCheck(),
               [this, key = key, id = endpoint.Facts.Id,
                born_ms = endpoint.Facts.BornMs, given = now,
                generation = Generation](OrderReply reply) {
                 EndpointView *at =
                     generation == Generation
                         ? findAnsweringIncarnation(id, born_ms, given, reply)
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
  // A run that is not listed may be among the ends that are still to be read.
  if (inventory.MoreEnds)
    return;
  releaseMissingRuns(endpoint, sent, inventory);
  for (auto it = endpoint.OrphanedRuns.begin();
       it != endpoint.OrphanedRuns.end();) {
    if (it->second.Listed || it->second.StopSent >= sent) {
      ++it;
      continue;
    }
    endpoint.Used = endpoint.Used - it->second.Need;
    releaseOrphan(it->first, it->second);
    it = endpoint.OrphanedRuns.erase(it);
  }
}

void Dispatcher::applyRunning(EndpointView &endpoint, const RunReport &report) {
  const auto *record = jobs::findJob(Ledger, report.Task.Job);
  const auto task_index =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  const auto open = OpenJobs.find(report.Task.Job);
  if (task_index && open != OpenJobs.end()) {
    const TaskKey task_key{report.Task.Job, *task_index};
    TaskState &state = open->second.Tasks[*task_index];
    const bool is_current = state.Endpoint == endpoint.Facts.Id &&
                            state.Run == report.Run && state.isPlaced();
    const bool inherited = open->second.Inherited && report.Run > state.Run;
    const bool late = report.Run == state.Run &&
                      isLateStart(state, endpoint.Facts.Id, report.Run);
    const bool adopt = state.Phase == TaskPhase::Waiting && record->isOpen() &&
                       (inherited || late);
    if (adopt) {
      const auto &step = record->Spec->Steps[report.Task.Step];
      state.Phase = TaskPhase::Running;
      state.Endpoint = endpoint.Facts.Id;
      state.Run = report.Run;
      state.Since = Hooks.Now();
      state.Inherited = true;
      open->second.Started = true;
      ++open->second.Placed;
      addRun(endpoint, task_key, step);
      TeamUsage[record->Team] = TeamUsage[record->Team] + step.Need;
    }
    if (is_current || adopt) {
      removeLateStart(task_key, endpoint.Facts.Id, report.Run);
      state.Listed = true;
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
  if (added)
    ++OrphanCounts[report.Task];
  if (added && task_index) {
    it->second.Need = requiredCapacity(record->Spec->Steps[report.Task.Step]);
    it->second.Team = record->Team;
    endpoint.Used = endpoint.Used + it->second.Need;
    TeamUsage[record->Team] = TeamUsage[record->Team] + it->second.Need;
  }
  stopOrphanedRun(endpoint, key);
}

void Dispatcher::applyEnd(EndpointView &endpoint, const EndReport &report) {
  const auto *record = jobs::findJob(Ledger, report.Task.Job);
  const auto task_index =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  if (!task_index)
    return;
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
      state->Phase == TaskPhase::Running && state->Checkpoint.empty())
    RunTimes[record->Queue].observe(
        record->Spec->Steps[report.Task.Step].EstimateMs,
        (Hooks.Now() - state->Since).Count);
  if (state) {
    state->Run = std::max(state->Run, report.Run);
    removeLateStart(task_key, endpoint.Facts.Id, report.Run);
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
    state->Phase = TaskPhase::Ending;
  }
  if (conclusive && record->isOpen())
    this->recordEvent(jobs::TaskEnded{report.Task.Job, *task_index, report.Run,
                                      report.How == RunEnd::Done,
                                      Hooks.WallClock()});
}

// Releases the runs that the endpoint no longer has: the last order for each
// was answered before the inventory was requested, and the inventory lists it
// neither as running nor as ended. The inventory must list all ends. A run
// whose orders got no answer may still start.
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
              std::to_string(state.Run) + " is no longer in the inventory of " +
              endpoint.Facts.Id.str());
    releaseTask(task_key, TaskPhase::Waiting);
  }
}

// The incarnation that answered does not have the run, and its fencing token
// keeps it from carrying the order out late. The start is sent once more, as
// the members of a gang need the same run number.
void Dispatcher::resolveUnansweredStart(const TaskKey &task_key,
                                        TaskState &state) {
  if (HandingOver)
    return;
  if (std::exchange(state.StartResent, true)) {
    releaseTask(task_key, TaskPhase::Waiting);
    return;
  }
  state.Phase = TaskPhase::Ordered;
  state.Since = Hooks.Now();
  sendStart(task_key);
}

void Dispatcher::releaseLostRuns(EndpointView &endpoint) {
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
  for (size_t i = 0; i < task_keys.size(); ++i)
    Hooks.IncrementCounter("run_ends", "how", "lost");
  if (!task_keys.empty())
    Hooks.Log("endpoint " + endpoint.Facts.Id.str() + ": " +
              std::to_string(task_keys.size()) + " runs lost");
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
      !endpoint.Lease.mayBeValid(Hooks.Now(), LeaseClock::LowerTolerance);
  for (const auto &task_key : task_keys) {
    const TaskState &state = *findTaskState(task_key);
    const bool ended =
        !state.mayRunInNextIncarnation() ||
        (state.Confirmed && !state.StartResent && expired_behind);
    if (!ended)
      continue;
    releaseTask(task_key, TaskPhase::Waiting);
    Hooks.IncrementCounter("run_ends", "how", "lost");
    ++released;
  }
  if (released > 0)
    Hooks.Log("endpoint " + endpoint.Facts.Id.str() + " incarnation " +
              std::to_string(endpoint.Facts.BornMs) + ": " +
              std::to_string(released) + " runs lost with its lease, " +
              std::to_string(endpoint.Runs.size()) +
              " may be in progress in a next incarnation");
}

// The runs that the incarnation is known to have end with its lease. Others may
// be in progress in an unknown next one: the endpoint may have started anew
// under its id, and calls for this incarnation may have given that one a lease
// of up to the longest.
void Dispatcher::declareLostIfExpired(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  const bool expired = endpoint.Suspect && !endpoint.Facts.Idle &&
                       !endpoint.DeclaredLost &&
                       !endpoint.Lease.mayBeValid(now);
  if (!expired)
    return;
  releaseExpiredRuns(endpoint);
  if (!endpoint.Runs.empty() &&
      now < LeaseClock::latestExpiry(endpoint.LastLeaseCall, Options.MaxLease))
    return;
  endpoint.DeclaredLost = true;
  Hooks.Log("endpoint " + endpoint.Facts.Id.str() + " incarnation " +
            std::to_string(endpoint.Facts.BornMs) +
            " declared lost: unreachable until its lease expired, " +
            endpoint.Lease.describe(Hooks.Now()));
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

bool Dispatcher::areEndpointsRead(const OpenJob &job) const {
  return std::none_of(Endpoints.begin(), Endpoints.end(), [&](const auto &row) {
    const EndpointView &endpoint = row.second;
    return endpoint.isUnread() && mayRunIn(job, endpoint.Facts.Pool);
  });
}

bool Dispatcher::mayRunIn(const OpenJob &job, const core::PoolId &pool) {
  return job.pool() == pool || job.Record->Terms.PoolReplaced;
}

} // namespace almondgate::dispatch
