#include "almondgate/dispatch/dispatcher.hpp"

#include "need.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using jobs::EndpointId;

namespace {

constexpr DurationMs UnwellPause{300};
constexpr DurationMs RestartPause{150};

std::string nameOf(const EndpointView::TaskPlace &place) {
  return place.first.str() + "#" + std::to_string(place.second);
}

} // namespace

TaskSlot *Dispatcher::slotOf(const TaskPlace &place) {
  const auto it = Open.find(place.first);
  if (it == Open.end() || place.second >= it->second.Tasks.size())
    return nullptr;
  return &it->second.Tasks[place.second];
}

const jobs::StepSpec *Dispatcher::stepOf(const TaskPlace &place) const {
  const auto *record = jobs::findJob(Ledger, place.first);
  if (!record)
    return nullptr;
  const auto task = jobs::taskAt(place.first, *record->Spec, place.second);
  return &record->Spec->Steps[task.Step];
}

// Null where that life is over; else its clock is noted.
EndpointView *Dispatcher::lifeThatAnswered(const EndpointId &id, int64_t born,
                                           const OrderReply &reply) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != born)
    return nullptr;
  if (reply.ClockMs)
    it->second.Lease.observe(*reply.ClockMs, Hooks.Now());
  return &it->second;
}

// --- starts

void Dispatcher::start(const TaskPlace &place, EndpointView &at, int64_t run) {
  OpenJob &job = Open.at(place.first);
  TaskSlot &slot = job.Tasks[place.second];
  const auto *record = jobs::findJob(Ledger, place.first);
  const auto *step = stepOf(place);
  slot.Phase = TaskPhase::Ordered;
  slot.At = at.Facts.Id;
  slot.Run = run;
  slot.Since = Hooks.Now();
  slot.StopTold = false;
  slot.SentAgain = false;
  slot.Percent = 0;
  if (!std::exchange(job.Started, true))
    Hooks.Time("job_wait", (slot.Since - job.SentAt).Count);
  ++job.Placed;
  addRun(at, place, *step);
  TeamUsed[record->Team] = TeamUsed[record->Team] + step->Need;
  Hooks.Log("task " + nameOf(place) + " run " + std::to_string(run) + " -> " +
            at.Facts.Id.str() + " used " + std::to_string(at.Used.MilliCpus) +
            "/" + std::to_string(at.Facts.Capacity.MilliCpus) + " estimate " +
            std::to_string(step->EstimateMs) + " ms, late by " +
            std::to_string((Hooks.Now() - job.Due).Count) + " ms");
  sendStart(place);
}

void Dispatcher::sendStart(const TaskPlace &place) {
  OpenJob &job = Open.at(place.first);
  TaskSlot &slot = job.Tasks[place.second];
  EndpointView &at = Endpoints.at(slot.At);
  const auto *record = jobs::findJob(Ledger, place.first);
  StartOrder order;
  order.Task = jobs::taskAt(place.first, *record->Spec, place.second);
  order.Run = slot.Run;
  order.Content = record->Spec->Content;
  order.DeadlineMs = at.Suspect ? at.Lease.granted()
                                : at.Lease.grant(Hooks.Now(), Options.Lease);
  order.Epoch = Epoch;
  order.Checkpoint = slot.Checkpoint;
  const auto tickets =
      job.Tickets.find({order.Task.Occurrence, order.Task.Step});
  if (tickets != job.Tickets.end()) {
    const auto ticket = tickets->second.Tickets.find(slot.At);
    if (ticket != tickets->second.Tickets.end())
      order.Ticket = ticket->second;
  }
  const auto facts = at.Facts;
  Hooks.Start(facts, order,
              [this, place, run = slot.Run, id = facts.Id, born = facts.BornMs,
               generation = Generation](const OrderReply &reply) {
                if (generation == Generation)
                  onStartReply(place, run, id, born, reply);
              });
}

void Dispatcher::onStartReply(const TaskPlace &place, int64_t run,
                              const EndpointId &at, int64_t born,
                              const OrderReply &reply) {
  EndpointView *answering = lifeThatAnswered(at, born, reply);
  if (!answering)
    return;
  EndpointView &endpoint = *answering;
  const auto now = Hooks.Now();
  Hooks.Count("start_orders", "result", orderResultName(reply.Result));
  TaskSlot *slot = slotOf(place);
  if (!slot || slot->At != at || slot->Run != run || !slot->isPlaced())
    return;
  if (reply.Result != OrderResult::Accepted)
    Hooks.Log("task " + nameOf(place) + " run " + std::to_string(run) + " at " +
              at.str() + ": " + orderResultName(reply.Result));
  if (slot->Phase == TaskPhase::Stopping)
    return;
  // An inventory has shown the run meanwhile: only the answer got lost.
  if (slot->Phase == TaskPhase::Running) {
    endpoint.Suspect =
        endpoint.Suspect || reply.Result == OrderResult::NoAnswer;
    return;
  }
  const auto await_inventory = [&] {
    slot->Phase = TaskPhase::Unanswered;
    slot->Since = now;
  };
  const auto give_back = [&](DurationMs pause) {
    // The first copy of the order may still be carried out.
    if (slot->SentAgain) {
      await_inventory();
      return;
    }
    slot->NotBefore = now + pause;
    release(place, TaskPhase::Waiting);
  };
  switch (reply.Result) {
  case OrderResult::Accepted:
    slot->Phase = TaskPhase::Running;
    slot->Since = now;
    return;
  case OrderResult::NoAnswer:
    endpoint.Suspect = true;
    endpoint.RenewDue = now;
    // The run may be at work, or start seconds later, even in the endpoint's
    // next life: an inventory that is asked for now decides.
    await_inventory();
    return;
  case OrderResult::Unavailable:
    endpoint.BackOffUntil = now + UnwellPause;
    give_back({});
    return;
  case OrderResult::NoRoom:
    endpoint.BackOffUntil = now + RestartPause;
    give_back({});
    return;
  case OrderResult::BadTicket: {
    auto &tickets = Open.at(place.first).Tickets;
    tickets.clear();
    give_back({});
    return;
  }
  case OrderResult::NotSent:
    endpoint.Suspect = true;
    endpoint.RenewDue = now;
    give_back({});
    return;
  case OrderResult::WrongIncarnation:
    record(jobs::EndpointGone{at, born});
    endpoint.Suspect = true;
    return;
  case OrderResult::Outdated:
    // It ran and ended, or never will: the next look tells which.
    slot->Phase = TaskPhase::Running;
    slot->Since = now;
    return;
  case OrderResult::Fenced:
  case OrderResult::Late:
  case OrderResult::Malformed:
    give_back(RestartPause);
    return;
  }
}

// --- stops

void Dispatcher::stop(const TaskPlace &place, const char *why) {
  TaskSlot &slot = *slotOf(place);
  if (slot.Phase == TaskPhase::Stopping || !slot.isPlaced())
    return;
  Hooks.Log("stop of " + nameOf(place) + " run " + std::to_string(slot.Run) +
            " at " + slot.At.str() + " (" + why + "), " + budgetTextOf(place));
  Hooks.Count("stop_orders", "why", why);
  slot.Phase = TaskPhase::Stopping;
  slot.StopTold = false;
  slot.Since = Hooks.Now();
  sendStop(place);
}

void Dispatcher::sendStop(const TaskPlace &place) {
  const TaskSlot &slot = *slotOf(place);
  const auto *record = jobs::findJob(Ledger, place.first);
  const auto facts = Endpoints.at(slot.At).Facts;
  const StopOrder order{jobs::taskAt(place.first, *record->Spec, place.second),
                        slot.Run, Epoch};
  Hooks.Stop(facts, order,
             [this, place, run = slot.Run, id = facts.Id, born = facts.BornMs,
              generation = Generation](const OrderReply &reply) {
               if (generation == Generation)
                 onStopReply(place, run, id, born, reply);
             });
}

void Dispatcher::onStopReply(const TaskPlace &place, int64_t run,
                             const EndpointId &at, int64_t born,
                             const OrderReply &reply) {
  EndpointView *answering = lifeThatAnswered(at, born, reply);
  if (!answering)
    return;
  EndpointView &endpoint = *answering;
  TaskSlot *slot = slotOf(place);
  if (!slot || slot->At != at || slot->Run != run ||
      slot->Phase != TaskPhase::Stopping)
    return;
  if (reply.Result == OrderResult::Accepted) {
    // The next inventory asked for after this tells whether it has ended.
    slot->StopTold = true;
    slot->Since = Hooks.Now();
    endpoint.RenewDue = slot->Since;
    return;
  }
  Hooks.Log("stop of " + nameOf(place) + " at " + at.str() + ": " +
            orderResultName(reply.Result));
  if (reply.Result == OrderResult::WrongIncarnation) {
    record(jobs::EndpointGone{at, born});
    return;
  }
  if (reply.Result == OrderResult::Fenced)
    return;
  endpoint.Suspect = endpoint.Suspect ||
                     reply.Result == OrderResult::NoAnswer ||
                     reply.Result == OrderResult::NotSent;
  endpoint.StopRetries.insert(place);
}

void Dispatcher::retryStops() {
  const auto now = Hooks.Now();
  for (auto &[id, endpoint] : Endpoints) {
    std::set<TaskPlace> later;
    for (const auto &place : std::exchange(endpoint.StopRetries, {})) {
      TaskSlot *slot = slotOf(place);
      const bool wanted = slot && slot->At == id &&
                          slot->Phase == TaskPhase::Stopping && !slot->StopTold;
      if (!wanted)
        continue;
      if (now - slot->Since < Options.RetryPause || !mayEnd(place)) {
        later.insert(place);
        continue;
      }
      slot->Since = now;
      sendStop(place);
    }
    endpoint.StopRetries.insert(later.begin(), later.end());
  }
}

void Dispatcher::stopStray(EndpointView &at,
                           const EndpointView::StrayKey &key) {
  auto &stray = at.Strays.at(key);
  const auto now = Hooks.Now();
  if (now - stray.StopSent < Options.RetryPause)
    return;
  stray.StopSent = now;
  std::string line = "run " + std::to_string(key.second) + " of " +
                     key.first.Job.str() + " at " + at.Facts.Id.str() +
                     " is wanted by nobody: stopped";
  const auto *record = jobs::findJob(Ledger, key.first.Job);
  const auto index =
      record ? jobs::indexOf(*record->Spec, key.first) : std::nullopt;
  if (index && Open.contains(key.first.Job))
    line += "; its task is " + budgetTextOf({key.first.Job, *index});
  Hooks.Log(line);
  Hooks.Count("stop_orders", "why", "unwanted");
  Hooks.Stop(at.Facts, {key.first, key.second, Epoch},
             [](const OrderReply &) {});
}

// --- ends

void Dispatcher::release(const TaskPlace &place, TaskPhase next) {
  const auto open = Open.find(place.first);
  if (open == Open.end())
    return;
  OpenJob &job = open->second;
  TaskSlot &slot = job.Tasks[place.second];
  const auto *record = jobs::findJob(Ledger, place.first);
  const auto *step = stepOf(place);
  if (slot.isPlaced()) {
    --job.Placed;
    TeamUsed[record->Team] = TeamUsed[record->Team] - step->Need;
    const auto at = Endpoints.find(slot.At);
    if (at != Endpoints.end())
      dropRun(at->second, place, *step);
  }
  // Another run of the task may have ended meanwhile.
  const bool done = record->Tasks[place.second].Done;
  slot.Phase = done ? TaskPhase::Done : next;
  slot.Since = Hooks.Now();
  slot.At = EndpointId();
  wake();
}

} // namespace almondgate::dispatch
