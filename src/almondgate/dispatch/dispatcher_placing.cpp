#include "almondgate/dispatch/dispatcher.hpp"
#include "almondgate/policy/job_timing.hpp"

#include "need.hpp"
#include "pool_room.hpp"
#include "step_candidates.hpp"

#include <algorithm>
#include <tuple>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;

namespace {

// Runs of one epoch are numbered below those of the next.
constexpr int64_t RunsOfEpoch = 1000;
// Most endpoints asked about in one call.
constexpr size_t MostAdvised = 100;
// A task waits this part of its run time for the rack near its data.
constexpr int64_t NearDataPatiencePercent = 30;
constexpr int64_t Hundred = 100;

} // namespace

/// A step's occurrence that may start tasks now.
struct Dispatcher::ReadyStep {
  OpenJob *Job = nullptr;
  const jobs::JobRecord *Record = nullptr;
  int64_t Occurrence = 0;
  int64_t Step = 0;
  size_t First = 0;
  const jobs::StepSpec *Spec = nullptr;
  int64_t Priority = 0;
  /// Time left before the step must start for the job to be in time.
  int64_t SlackMs = 0;

  /// Long-running work first; then what can be in time, most urgent first;
  /// then the rest, shortest delay first.
  auto rank() const {
    const bool late = SlackMs < 0;
    return std::make_tuple(!Spec->LongRunning, Spec->Fills, late,
                           late ? -SlackMs : SlackMs);
  }
};

void Dispatcher::place() {
  std::erase_if(Open, [&](const auto &row) {
    return row.second.Placed == 0 && !row.second.Record->isOpen();
  });
  auto pools = usablePools();
  TeamUnseen = unseenByTeam();
  std::vector<ReadyStep> ready;
  collectReady(ready);
  std::sort(ready.begin(), ready.end(),
            [](const ReadyStep &a, const ReadyStep &b) {
              return a.rank() < b.rank();
            });
  for (const auto &step : ready) {
    const auto it = pools.find(step.Job->Pool);
    if (it == pools.end())
      continue;
    PoolRoom &room = it->second;
    const int64_t need = needOf(*step.Spec).MilliCpus;
    if (need > room.MostFree || need >= room.Failed)
      continue;
    if (step.Job->Inherited && !isSettled(step.Job->Pool))
      continue;
    if (!hasTickets(step, room.Endpoints))
      continue;
    if (step.Spec->Gang) {
      placeGang(step, room.Endpoints);
      continue;
    }
    const bool placed = placeStep(step, room.Endpoints);
    const bool anywhere =
        step.Spec->Affinity.empty() && step.Spec->Label.empty() &&
        step.Spec->AntiAffinity == 0 && step.Job->Tickets.empty();
    if (!placed && anywhere)
      room.Failed = std::min(room.Failed, need);
  }
}

void Dispatcher::collectReady(std::vector<ReadyStep> &out) {
  const auto now = Hooks.Now();
  const int64_t wall = Hooks.WallClock();
  for (auto &[id, job] : Open) {
    const auto *record = job.Record;
    if (!record->isOpen())
      continue;
    const auto &spec = *record->Spec;
    const auto *queue = index().queue(record->Queue);
    const auto expect = expecting(record->Queue);
    size_t first = 0;
    for (int64_t k = 0; k < spec.occurrences(); ++k) {
      const int64_t due_ms = spec.StartAtMs + k * spec.IntervalMs;
      const bool timed = spec.Repetitions > 0;
      if (timed && wall < due_ms)
        break;
      const TimeMs due =
          timed ? job.Due + (now - DurationMs{wall - due_ms} - job.SentAt)
                : job.Due;
      for (int64_t s = 0; s < int64_t(spec.Steps.size()); ++s) {
        const auto &step = spec.Steps[s];
        const auto from = job.Tasks.begin() + int64_t(first);
        const bool waiting =
            std::any_of(from, from + step.Count, [&](const TaskSlot &slot) {
              return slot.Phase == TaskPhase::Waiting && slot.NotBefore <= now;
            });
        if (waiting && jobs::isStepReady(*record, k, s))
          out.push_back(
              {&job, record, k, s, first, &step, queue ? queue->Priority : 0,
               (due - now).Count - policy::chainFromMs(spec, s, expect)});
        first += size_t(step.Count);
      }
    }
  }
}

std::map<core::PoolId, Dispatcher::PoolRoom> Dispatcher::usablePools() {
  const auto now = Hooks.Now();
  std::map<core::PoolId, PoolRoom> out;
  for (auto &[id, endpoint] : Endpoints) {
    const bool usable = endpoint.serves() && !endpoint.IdleTold &&
                        endpoint.Lease.isClockKnown() &&
                        endpoint.BackOffUntil <= now;
    if (!usable)
      continue;
    PoolRoom &room = out[endpoint.Facts.Pool];
    room.Endpoints.push_back(&endpoint);
    room.MostFree = std::max(room.MostFree, endpoint.Facts.Capacity.MilliCpus -
                                                endpoint.Used.MilliCpus);
  }
  return out;
}

StepCandidates
Dispatcher::candidatesFor(const ReadyStep &ready,
                          const std::vector<EndpointView *> &pool) const {
  const auto &step = *ready.Spec;
  StepCandidates out(step);
  out.waitForData(ready.SlackMs >
                  step.EstimateMs * NearDataPatiencePercent / Hundred);
  if (out.countsSameStep())
    for (size_t i = ready.First; i < ready.First + size_t(step.Count); ++i)
      if (ready.Job->Tasks[i].isPlaced()) {
        const auto at = Endpoints.find(ready.Job->Tasks[i].At);
        if (at != Endpoints.end())
          out.noteRunning(at->second);
      }
  const auto tickets = ready.Job->Tickets.find({ready.Occurrence, ready.Step});
  for (auto *endpoint : pool)
    if (tickets == ready.Job->Tickets.end() ||
        tickets->second.Tickets.contains(endpoint->Facts.Id))
      out.offer(*endpoint);
  return out;
}

bool Dispatcher::withinLimit(const core::TeamId &team,
                             const core::Size &need) const {
  const auto *spec = index().team(team);
  if (!spec)
    return true;
  const auto amount_of = [&team](const auto &amounts) {
    const auto it = amounts.find(team);
    return it == amounts.end() ? core::Size() : it->second;
  };
  const core::Size used = amount_of(TeamUsed) + amount_of(TeamUnseen) + need;
  const auto within = [](int64_t amount, int64_t limit) {
    return limit == 0 || amount <= limit;
  };
  return within(used.MilliCpus, spec->Limit.MilliCpus) &&
         within(used.MemoryMb, spec->Limit.MemoryMb) &&
         within(used.Accelerators, spec->Limit.Accelerators);
}

// Any task that an earlier leader could start may run where nobody has looked,
// but no more than those endpoints hold.
std::map<core::TeamId, core::Size> Dispatcher::unseenByTeam() const {
  std::map<core::PoolId, core::Size> unread;
  for (const auto &[id, endpoint] : Endpoints)
    if (endpoint.isUnread())
      unread[endpoint.Facts.Pool] =
          unread[endpoint.Facts.Pool] + endpoint.Facts.Capacity;
  if (unread.empty())
    return {};
  std::map<core::TeamId, std::map<core::PoolId, core::Size>> waiting;
  for (const auto &[id, job] : Open)
    if (job.Inherited && unread.contains(job.Pool)) {
      core::Size &sum = waiting[job.Record->Team][job.Pool];
      sum = sum + unseenOf(job);
    }
  std::map<core::TeamId, core::Size> out;
  for (const auto &[team, pools] : waiting)
    for (const auto &[pool, sum] : pools)
      out[team] = out[team] + core::smaller(sum, unread.at(pool));
  return out;
}

core::Size Dispatcher::unseenOf(const OpenJob &job) const {
  const auto &record = *job.Record;
  core::Size out;
  for (size_t i = 0; i < job.Tasks.size(); ++i) {
    const auto task = jobs::taskAt(record.Id, *record.Spec, i);
    if (job.Tasks[i].Phase == TaskPhase::Waiting &&
        jobs::isStepReady(record, task.Occurrence, task.Step))
      out = out + record.Spec->Steps[size_t(task.Step)].Need;
  }
  return out;
}

int64_t Dispatcher::nextRun(int64_t last) const {
  return std::max(last, int64_t(Epoch - 1) * RunsOfEpoch) + 1;
}

bool Dispatcher::placeStep(const ReadyStep &ready,
                           const std::vector<EndpointView *> &pool) {
  const auto now = Hooks.Now();
  const size_t last = ready.First + size_t(ready.Spec->Count);
  auto candidates = candidatesFor(ready, pool);
  for (size_t i = ready.First; i < last; ++i) {
    const TaskSlot &slot = ready.Job->Tasks[i];
    if (slot.Phase != TaskPhase::Waiting || slot.NotBefore > now)
      continue;
    if (!withinLimit(ready.Record->Team, ready.Spec->Need))
      return true;
    EndpointView *at = candidates.take(Hooks.Policies.Place);
    if (!at)
      return false;
    start({ready.Record->Id, i}, *at, nextRun(slot.Run));
  }
  return true;
}

// All members or none: a gang that waits for its last member wastes the rest.
void Dispatcher::placeGang(const ReadyStep &ready,
                           const std::vector<EndpointView *> &pool) {
  const size_t count = size_t(ready.Spec->Count);
  const auto from = ready.Job->Tasks.begin() + int64_t(ready.First);
  const bool all = std::all_of(
      from, from + int64_t(count), [now = Hooks.Now()](const TaskSlot &slot) {
        return slot.Phase == TaskPhase::Waiting && slot.NotBefore <= now;
      });
  core::Size total;
  for (size_t i = 0; i < count; ++i)
    total = total + ready.Spec->Need;
  if (!all || !withinLimit(ready.Record->Team, total))
    return;
  std::map<core::RackId, std::vector<EndpointView *>> racks;
  for (auto *endpoint : pool)
    racks[ready.Spec->SameRack ? endpoint->Facts.Rack : core::RackId()]
        .push_back(endpoint);
  if (racks.size() > 1)
    racks[core::RackId()] = pool;
  int64_t run = 0;
  std::string checkpoint;
  for (size_t i = 0; i < count; ++i) {
    run = std::max(run, from[int64_t(i)].Run);
    if (!from[int64_t(i)].Checkpoint.empty())
      checkpoint = from[int64_t(i)].Checkpoint;
  }
  // The racks come first; the whole pool is the last try.
  std::vector<std::vector<EndpointView *>> tries;
  for (auto it = racks.rbegin(); it != racks.rend(); ++it)
    tries.push_back(it->second);
  for (const auto &members : tries) {
    auto candidates = candidatesFor(ready, members);
    std::vector<EndpointView *> chosen;
    while (chosen.size() < count) {
      EndpointView *at = candidates.take(Hooks.Policies.Place);
      if (!at)
        break;
      chosen.push_back(at);
    }
    if (chosen.size() < count)
      continue;
    for (size_t i = 0; i < count; ++i) {
      ready.Job->Tasks[ready.First + i].Checkpoint = checkpoint;
      start({ready.Record->Id, ready.First + i}, *chosen[i], nextRun(run));
    }
    return;
  }
}

// --- tickets

bool Dispatcher::hasTickets(const ReadyStep &ready,
                            const std::vector<EndpointView *> &pool) {
  const auto *queue = index().queue(ready.Record->Queue);
  if (!queue || !queue->NeedsTicket)
    return true;
  const auto now = Hooks.Now();
  StepTickets &tickets = ready.Job->Tickets[{ready.Occurrence, ready.Step}];
  if (!tickets.Tickets.empty() && now < tickets.ValidUntil)
    return true;
  if (std::exchange(tickets.Asked, true))
    return false;
  AdviceRequest request{ready.Record->Id, ready.Occurrence, ready.Step, {}};
  for (const auto *endpoint : pool)
    if (request.Endpoints.size() < MostAdvised)
      request.Endpoints.push_back(endpoint->Facts.Id);
  const DurationMs life{queue->TicketLifeMs};
  Hooks.Advise(
      request, [this, request, life, sent = now, generation = Generation](
                   const core::Result<std::vector<Ticket>> &answer) {
        const auto open = Open.find(request.Job);
        if (generation != Generation || open == Open.end())
          return;
        auto &known = open->second.Tickets[{request.Occurrence, request.Step}];
        known.Asked = false;
        if (!answer) {
          Hooks.Log("no advice for job " + request.Job.str() + ": " +
                    answer.error().Text);
          return;
        }
        known.Tickets.clear();
        for (const auto &ticket : answer.value())
          known.Tickets[ticket.Endpoint] = ticket.Text;
        known.ValidUntil = sent + life;
        wake();
      });
  return false;
}

} // namespace almondgate::dispatch
