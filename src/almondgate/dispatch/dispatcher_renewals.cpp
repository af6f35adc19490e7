#include "almondgate/dispatch/dispatcher.hpp"

#include "need.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;
using jobs::EndpointId;

namespace {

constexpr DurationMs LongestRestartPause{1000};
constexpr int64_t RestartPauseStepMs = 100;
// A new leader reads nearly all endpoints within 100 ms; one that is cut off
// must not keep the others' VMs waiting.
constexpr DurationMs LongestReading{1000};
// Endpoints of a new fleet announce themselves every 1.5 s.
constexpr DurationMs FirstAnnouncements{3200};

} // namespace

void Dispatcher::renew(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  const auto &facts = endpoint.Facts;
  RenewRequest request;
  request.Epoch = Epoch;
  request.LastSeen = endpoint.LastSeen;
  // The lease of an endpoint that does not answer must be left to lapse.
  // So must that of one that is being given up: a lease given now would let
  // orders be carried out that are about to be taken for lapsed.
  if (endpoint.Lease.isClockKnown() && !facts.Idle && !endpoint.IdleTold &&
      !endpoint.Suspect)
    request.DeadlineMs = endpoint.Lease.grant(now, Options.Lease);
  // The first look reads what is there and does not wait; so does one that
  // decides about an order without an answer.
  if (endpoint.Contacted && !endpoint.Suspect && !hasUnanswered(endpoint))
    request.WaitMs = Options.RenewWait.Count;
  endpoint.Renewing = true;
  Hooks.Renew(facts, request,
              [this, id = facts.Id, born = facts.BornMs, sent = now,
               generation = Generation](const RenewReply &reply) {
                if (generation == Generation)
                  onRenewed(id, born, sent, reply);
              });
}

bool Dispatcher::hasUnanswered(const EndpointView &endpoint) const {
  return std::any_of(
      endpoint.Runs.begin(), endpoint.Runs.end(), [this](const auto &place) {
        const OpenJob &job = Open.at(place.first);
        return job.Tasks[place.second].Phase == TaskPhase::Unanswered;
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
  endpoint.RenewDue = now + Options.RetryPause;
  if (!active())
    return;
  const bool other_life = reply.Result == OrderResult::Accepted && born != 0 &&
                          reply.Inventory.BornMs != 0 &&
                          reply.Inventory.BornMs != born;
  if (reply.Result == OrderResult::WrongIncarnation) {
    record(jobs::EndpointGone{id, born});
    endpoint.Suspect = true;
    return;
  }
  if (reply.Result != OrderResult::Accepted || other_life) {
    if (!endpoint.Suspect)
      Hooks.Log("endpoint " + id.str() + " can't be read: " +
                (other_life ? "another life" : orderResultName(reply.Result)));
    endpoint.Suspect = true;
    return;
  }
  if (endpoint.Suspect || !endpoint.Contacted)
    Hooks.Log("endpoint " + id.str() + " read: " +
              std::to_string(reply.Inventory.Running.size()) + " runs, " +
              std::to_string(reply.Inventory.Ended.size()) + " ends");
  endpoint.Lease.observe(reply.Inventory.ClockMs, now);
  endpoint.Suspect = false;
  readInventory(endpoint, sent, reply.Inventory);
  endpoint.Contacted = true;
  if (endpoint.Facts.Idle && endpoint.IdleTold)
    readmit(endpoint);
  const int64_t reported = endpoint.Reported;
  // Ends are acknowledged once they are durable; until then no look is open.
  endpoint.Renewing = true;
  afterRecorded([this, id, born, reported](bool durable) {
    const auto at = Endpoints.find(id);
    if (at == Endpoints.end() || at->second.Facts.BornMs != born)
      return;
    at->second.Renewing = false;
    if (!durable || !active())
      return;
    at->second.LastSeen = std::max(at->second.LastSeen, reported);
    renew(at->second);
  });
  wake();
}

void Dispatcher::readmit(EndpointView &endpoint) {
  if (!endpoint.OpenOrders.empty()) {
    barOpenOrders(endpoint);
    return;
  }
  auto facts = endpoint.Facts;
  facts.Idle = false;
  endpoint.IdleTold = false;
  record(jobs::EndpointRegistered{facts});
}

// A start that comes after the stop of its run is rejected.
void Dispatcher::barOpenOrders(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  for (auto &[key, sent] : endpoint.OpenOrders) {
    if (now - sent < Options.RetryPause)
      continue;
    sent = now;
    Hooks.Count("stop_orders", "why", "given up");
    Hooks.Stop(endpoint.Facts, {key.first, key.second, Epoch},
               [this, key = key, id = endpoint.Facts.Id,
                born = endpoint.Facts.BornMs,
                generation = Generation](const OrderReply &reply) {
                 EndpointView *at = generation == Generation
                                        ? lifeThatAnswered(id, born, reply)
                                        : nullptr;
                 if (!at || reply.Result != OrderResult::Accepted)
                   return;
                 at->OpenOrders.erase(key);
                 if (at->OpenOrders.empty() && at->Facts.Idle && at->IdleTold)
                   readmit(*at);
               });
  }
}

void Dispatcher::readInventory(EndpointView &endpoint, TimeMs sent,
                               const RunInventory &inventory) {
  for (auto &[key, stray] : endpoint.Strays)
    stray.Seen = false;
  for (const auto &report : inventory.Ended)
    if (report.Number > endpoint.Reported) {
      readEnd(endpoint, report);
      endpoint.Reported = report.Number;
    }
  for (const auto &report : inventory.Running)
    readRunning(endpoint, report);
  dropVanished(endpoint, sent, inventory);
  for (auto it = endpoint.Strays.begin(); it != endpoint.Strays.end();) {
    if (it->second.Seen || it->second.StopSent >= sent) {
      ++it;
      continue;
    }
    endpoint.Used = endpoint.Used - it->second.Need;
    TeamUsed[it->second.Team] = TeamUsed[it->second.Team] - it->second.Need;
    it = endpoint.Strays.erase(it);
  }
}

void Dispatcher::readRunning(EndpointView &endpoint, const RunReport &report) {
  const auto *record = jobs::findJob(Ledger, report.Task.Job);
  const auto at =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  const auto open = Open.find(report.Task.Job);
  if (at && open != Open.end()) {
    const TaskPlace place{report.Task.Job, *at};
    TaskSlot &slot = open->second.Tasks[*at];
    const bool ours = slot.At == endpoint.Facts.Id && slot.Run == report.Run &&
                      slot.isPlaced();
    const bool adopt = slot.Phase == TaskPhase::Waiting && record->isOpen() &&
                       open->second.Inherited && report.Run > slot.Run;
    if (adopt) {
      const auto &step = record->Spec->Steps[report.Task.Step];
      slot.Phase = TaskPhase::Running;
      slot.At = endpoint.Facts.Id;
      slot.Run = report.Run;
      slot.Since = Hooks.Now();
      open->second.Started = true;
      ++open->second.Placed;
      addRun(endpoint, place, step);
      TeamUsed[record->Team] = TeamUsed[record->Team] + step.Need;
    }
    if (ours || adopt) {
      if (slot.Phase == TaskPhase::Ordered ||
          slot.Phase == TaskPhase::Unanswered) {
        slot.Phase = TaskPhase::Running;
        slot.Since = Hooks.Now();
      }
      if (!report.Checkpoint.empty())
        slot.Checkpoint = report.Checkpoint;
      slot.Percent = report.Percent;
      slot.Usage = report.Usage;
      return;
    }
  }
  const EndpointView::StrayKey key{report.Task, report.Run};
  const auto [it, added] = endpoint.Strays.try_emplace(key);
  it->second.Seen = true;
  if (added && at) {
    it->second.Need = needOf(record->Spec->Steps[report.Task.Step]);
    it->second.Team = record->Team;
    endpoint.Used = endpoint.Used + it->second.Need;
    TeamUsed[record->Team] = TeamUsed[record->Team] + it->second.Need;
  }
  stopStray(endpoint, key);
}

void Dispatcher::readEnd(EndpointView &endpoint, const EndReport &report) {
  const auto *record = jobs::findJob(Ledger, report.Task.Job);
  const auto at =
      record ? jobs::indexOf(*record->Spec, report.Task) : std::nullopt;
  if (!at)
    return;
  const TaskPlace place{report.Task.Job, *at};
  TaskSlot *slot = slotOf(place);
  const bool ours = slot && slot->isPlaced() && slot->At == endpoint.Facts.Id &&
                    slot->Run == report.Run;
  const bool lasting = record->Spec->Steps[report.Task.Step].LongRunning;
  const bool final =
      !lasting && (report.How == RunEnd::Done || report.How == RunEnd::Failed);
  Hooks.Log("task " + report.Task.Job.str() + "#" + std::to_string(*at) +
            " run " + std::to_string(report.Run) + " at " +
            endpoint.Facts.Id.str() + " ended " + runEndName(report.How));
  Hooks.Count("run_ends", "how", runEndName(report.How));
  if (report.How == RunEnd::Failed)
    ++endpoint.FailuresInRow;
  if (report.How == RunEnd::Done)
    endpoint.FailuresInRow = 0;
  if (ours && report.How == RunEnd::Done && !lasting &&
      slot->Phase == TaskPhase::Running && slot->Checkpoint.empty())
    Durations[record->Queue].observe(
        record->Spec->Steps[report.Task.Step].EstimateMs,
        (Hooks.Now() - slot->Since).Count);
  if (slot)
    slot->Run = std::max(slot->Run, report.Run);
  if (ours) {
    if (!report.Checkpoint.empty())
      slot->Checkpoint = report.Checkpoint;
    if (report.How == RunEnd::Failed && lasting)
      slot->NotBefore =
          Hooks.Now() +
          std::min(LongestRestartPause,
                   DurationMs{RestartPauseStepMs * endpoint.FailuresInRow});
    release(place, final ? TaskPhase::Ending : TaskPhase::Waiting);
  } else if (final && slot && slot->Phase == TaskPhase::Waiting) {
    slot->Phase = TaskPhase::Ending;
  }
  if (final && record->isOpen())
    this->record(jobs::TaskEnded{report.Task.Job, *at, report.Run,
                                 report.How == RunEnd::Done,
                                 Hooks.WallClock()});
}

// A run whose order was answered before the look was asked for, and which is
// in neither list, is not there. One whose orders got no answer may still come.
void Dispatcher::dropVanished(EndpointView &endpoint, TimeMs sent,
                              const RunInventory &inventory) {
  std::set<EndpointView::StrayKey> there;
  for (const auto &report : inventory.Running)
    there.emplace(report.Task, report.Run);
  const auto places = endpoint.Runs;
  for (const auto &place : places) {
    TaskSlot &slot = *slotOf(place);
    const auto *record = jobs::findJob(Ledger, place.first);
    const auto task = jobs::taskAt(place.first, *record->Spec, place.second);
    if (there.contains({task, slot.Run}) || slot.Since >= sent)
      continue;
    if (slot.Phase == TaskPhase::Unanswered) {
      if (!endpoint.IdleTold)
        resolveUnanswered(place, slot);
      continue;
    }
    const bool answered = slot.Phase == TaskPhase::Running ||
                          (slot.Phase == TaskPhase::Stopping && slot.StopTold);
    if (!answered)
      continue;
    Hooks.Log("task " + place.first.str() + "#" + std::to_string(place.second) +
              " run " + std::to_string(slot.Run) + " is no longer at " +
              endpoint.Facts.Id.str());
    release(place, TaskPhase::Waiting);
  }
}

// The endpoint, in the life that was asked, does not have the run. Sent again,
// the order is harmless where the first copy comes late.
void Dispatcher::resolveUnanswered(const TaskPlace &place, TaskSlot &slot) {
  if (std::exchange(slot.SentAgain, true)) {
    stop(place, "unanswered start");
    return;
  }
  slot.Phase = TaskPhase::Ordered;
  slot.Since = Hooks.Now();
  sendStart(place);
}

void Dispatcher::loseRuns(EndpointView &endpoint) {
  const auto places = endpoint.Runs;
  for (const auto &place : places)
    release(place, TaskPhase::Waiting);
  for (const auto &[key, stray] : endpoint.Strays)
    TeamUsed[stray.Team] = TeamUsed[stray.Team] - stray.Need;
  endpoint.Strays.clear();
  endpoint.Used = {};
  for (size_t i = 0; i < places.size(); ++i)
    Hooks.Count("run_ends", "how", "lost");
  if (!places.empty())
    Hooks.Log("endpoint " + endpoint.Facts.Id.str() + " lost " +
              std::to_string(places.size()) + " runs");
}

void Dispatcher::onUnreachable(EndpointView &endpoint) {
  const bool tell = endpoint.Suspect && !endpoint.Facts.Idle &&
                    !endpoint.IdleTold &&
                    !endpoint.Lease.mayBeValid(Hooks.Now());
  if (!tell)
    return;
  endpoint.IdleTold = true;
  Hooks.Log("endpoint " + endpoint.Facts.Id.str() +
            " was out of reach until its lease lapsed");
  record(jobs::EndpointIdled{endpoint.Facts.Id, endpoint.Facts.BornMs});
}

bool Dispatcher::knowsFleet() const {
  const auto passed = Hooks.Now() - Began;
  if (NewFleet)
    return passed >= FirstAnnouncements;
  return passed >= LongestReading ||
         std::none_of(Endpoints.begin(), Endpoints.end(),
                      [](const auto &row) { return row.second.isUnread(); });
}

bool Dispatcher::isSettled(const core::PoolId &pool) const {
  return std::none_of(Endpoints.begin(), Endpoints.end(), [&](const auto &row) {
    const EndpointView &endpoint = row.second;
    return endpoint.Facts.Pool == pool && endpoint.isUnread();
  });
}

} // namespace almondgate::dispatch
