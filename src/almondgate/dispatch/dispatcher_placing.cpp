#include "almondgate/dispatch/dispatcher.hpp"
#include "almondgate/policy/job_timing.hpp"

#include "pool_capacity.hpp"
#include "ready_step.hpp"
#include "run_accounting.hpp"
#include "step_candidates.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;

namespace {

// Distance between the first run numbers of two epochs, so that runs of a later
// epoch have higher numbers.
constexpr int64_t RunsPerEpoch = 1000;

} // namespace

void Dispatcher::placeReadySteps() {
  updateLoads();
  for (const auto &id : Loads.takeFinished())
    forgetJob(id);
  std::map<core::PoolId, PoolCapacity> pools;
  ColdStarts.update(Endpoints, Hooks.Now());
  beginNearWaitPass();
  TeamUnreadUsage = unreadUsageByTeam();
  std::vector<ReadyStep> ready;
  const auto now = Hooks.Now();
  for (const auto &[pool, load] : Loads.pools()) {
    if (load.Waiting.empty())
      continue;
    PoolCapacity capacity;
    capacity.Endpoints = &Pools.usable(pool, now);
    if (capacity.Endpoints->empty())
      continue;
    capacity.LargestFreeMilliCpus = Pools.largestFree(pool, now);
    for (const auto &[id, job] : load.Waiting)
      collectReadySteps(*job, capacity.LargestFreeMilliCpus, ready);
    pools.emplace(pool, capacity);
  }
  std::sort(ready.begin(), ready.end());
  for (const auto &step : ready) {
    PoolCapacity &capacity = pools.at(step.Job->pool());
    const core::Size need = requiredCapacity(*step.Spec);
    if (capacity.unplaced(*step.Spec).covers(need))
      continue;
    if (step.Job->Inherited && !areEndpointsRead(*step.Job))
      continue;
    if (!ensureTickets(step, *capacity.Endpoints))
      continue;
    if (step.Spec->Gang) {
      placeGang(step, *capacity.Endpoints);
      continue;
    }
    // Where a nearby place may come free is seen from the full endpoints too.
    const bool near = prefersPlace(*step.Spec);
    const bool placed =
        placeStep(step, near ? *capacity.Endpoints
                             : Pools.usableWithFree(step.Job->pool(),
                                                    need.MilliCpus, now));
    if (!placed && !near && !isConstrained(step))
      capacity.unplaced(*step.Spec).add(need);
  }
}

bool Dispatcher::isConstrained(const ReadyStep &ready) {
  return !ready.Spec->Label.empty() || ready.Spec->AntiAffinity > 0 ||
         ready.Job->findTickets(ready.Occurrence, ready.Step);
}

// Leaves out steps whose tasks need more than `largest_free` millicores.
void Dispatcher::collectReadySteps(OpenJob &job, int64_t largest_free,
                                   std::vector<ReadyStep> &out) {
  const auto now = Hooks.Now();
  const int64_t wall = Hooks.WallClock();
  const auto *record = job.Record;
  const auto &spec = *record->Spec;
  const bool timed = spec.Repetitions > 0;
  for (size_t at = 0; at < job.Steps.size(); ++at) {
    const auto occurrence = int64_t(at / spec.Steps.size());
    const int64_t due_ms = spec.StartAtMs + occurrence * spec.IntervalMs;
    if (timed && wall < due_ms)
      break;
    const StepTasks &tasks = job.Steps[at];
    const auto s = int64_t(at % spec.Steps.size());
    const auto &step = spec.Steps[size_t(s)];
    const bool may_fit = tasks.Waiting > 0 && tasks.Ready &&
                         requiredCapacity(step).MilliCpus <= largest_free;
    if (!may_fit)
      continue;
    const auto from = job.Tasks.begin() + int64_t(tasks.First);
    const bool waiting =
        std::any_of(from, from + step.Count, [&](const TaskState &state) {
          return state.Phase == TaskPhase::Waiting && state.NotBefore <= now;
        });
    if (!waiting)
      continue;
    const TimeMs due =
        timed ? job.Due + (now - DurationMs{wall - due_ms} - job.SentAt)
              : job.Due;
    out.push_back(
        {&job, record, occurrence, s, tasks.First, &step,
         (due - now).Count -
             policy::chainFromMs(spec, s, runTimeEstimator(record->Queue))});
  }
}

bool Dispatcher::isUsable(const EndpointView &endpoint) const {
  return acceptsStarts(endpoint) && endpoint.BackOffUntil <= Hooks.Now();
}

bool Dispatcher::acceptsStarts(const EndpointView &endpoint) const {
  return isAvailable(endpoint) && !endpoint.DeclaredLost &&
         endpoint.Lease.isClockKnown();
}

StepCandidates
Dispatcher::candidatesFor(const ReadyStep &ready,
                          const std::vector<EndpointView *> &pool,
                          TicketUse use) const {
  const auto &step = *ready.Spec;
  StepCandidates out(step);
  if (out.dependsOnSameStep())
    for (size_t i = ready.First; i < ready.First + size_t(step.Count); ++i)
      if (ready.Job->Tasks[i].isPlaced()) {
        const auto at = Endpoints.find(ready.Job->Tasks[i].Endpoint);
        if (at != Endpoints.end())
          out.recordRunningTask(at->second);
      }
  const auto *tickets = ready.Job->findTickets(ready.Occurrence, ready.Step);
  const auto now = Hooks.Now();
  for (auto *endpoint : pool)
    if (!tickets || tickets->permits(endpoint->Facts, use, now))
      out.addIfEligible(*endpoint);
  return out;
}

bool Dispatcher::isWithinLimit(const core::TeamId &team,
                               const core::Size &need) const {
  const auto *spec = index().team(team);
  if (!spec)
    return true;
  const auto amount_of = [&team](const auto &amounts) {
    const auto it = amounts.find(team);
    return it == amounts.end() ? core::Size() : it->second;
  };
  const core::Size used =
      amount_of(TeamUsage) + amount_of(TeamUnreadUsage) + need;
  const auto within = [](int64_t amount, int64_t limit) {
    return limit == 0 || amount <= limit;
  };
  return within(used.MilliCpus, spec->Limit.MilliCpus) &&
         within(used.MemoryMb, spec->Limit.MemoryMb) &&
         within(used.Accelerators, spec->Limit.Accelerators);
}

// Any task that an earlier leader could have started may run on an endpoint
// that has not been read, but no more of them than those endpoints have
// capacity for.
std::map<core::TeamId, core::Size> Dispatcher::unreadUsageByTeam() const {
  if (!Pools.hasUnread())
    return {};
  const auto unread = Pools.unreadCapacity();
  std::map<core::TeamId, std::map<core::PoolId, core::Size>> waiting;
  for (const auto &[id, job] : OpenJobs) {
    if (!job.Inherited)
      continue;
    for (const auto &[pool, capacity] : unread)
      if (mayRunIn(job, pool)) {
        core::Size &sum = waiting[job.Record->Team][pool];
        sum = sum + unreadUsageOf(job);
      }
  }
  std::map<core::TeamId, core::Size> out;
  for (const auto &[team, pools] : waiting)
    for (const auto &[pool, sum] : pools)
      out[team] = out[team] + core::smaller(sum, unread.at(pool));
  return out;
}

core::Size Dispatcher::unreadUsageOf(const OpenJob &job) const {
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

int64_t Dispatcher::nextRunNumber(int64_t last) const {
  return std::max(last, int64_t(Epoch - 1) * RunsPerEpoch) + 1;
}

// Tasks that may not be started yet keep waiting; the next pass tries again.
bool Dispatcher::mayOrderStarts(size_t n) const {
  const bool room = !HandingOver && Hooks.HasRoomForStarts(n);
  if (!room)
    Hooks.IncrementCounter("start_orders", "result", "held-back");
  return room;
}

bool Dispatcher::placeStep(const ReadyStep &ready,
                           const std::vector<EndpointView *> &pool) {
  const auto now = Hooks.Now();
  std::vector<size_t> free;
  for (size_t i = ready.First; i < ready.First + size_t(ready.Spec->Count);
       ++i) {
    const TaskState &state = ready.Job->Tasks[i];
    if (state.Phase != TaskPhase::Waiting || state.NotBefore > now)
      continue;
    if (!mayBeInProgress({ready.Record->Id, i}, state))
      free.push_back(i);
  }
  if (prefersPlace(*ready.Spec) && !ready.Spec->LongRunning)
    return placeNearData(ready, pool, free);
  auto candidates = candidatesFor(ready, pool);
  for (const size_t i : free) {
    if (!mayStartTask(ready))
      return true;
    if (!placeTask(ready, i, candidates))
      return false;
  }
  return true;
}

bool Dispatcher::placeTask(const ReadyStep &ready, size_t index,
                           StepCandidates &candidates) {
  EndpointView *at = candidates.allocate(Hooks.Policies.ChooseEndpoint);
  if (!at)
    return false;
  TaskState &state = ready.Job->Tasks[index];
  state.Remote = isRemote(*ready.Spec, {at});
  startTask({ready.Record->Id, index}, *at, nextRunNumber(state.Run));
  return true;
}

bool Dispatcher::mayStartTask(const ReadyStep &ready) const {
  return isWithinLimit(ready.Record->Team, ready.Spec->Need) &&
         mayOrderStarts(1);
}

// Returns an endpoint for each member, or fewer if there is no room for all.
std::vector<EndpointView *>
Dispatcher::chooseForGang(const ReadyStep &ready,
                          const std::vector<EndpointView *> &members) const {
  auto candidates = candidatesFor(ready, members);
  std::vector<EndpointView *> chosen;
  while (chosen.size() < size_t(ready.Spec->Count)) {
    EndpointView *at = candidates.allocate(Hooks.Policies.ChooseEndpoint);
    if (!at)
      break;
    chosen.push_back(at);
  }
  return chosen;
}

// Places all members of the gang or none: members that wait for the last one
// occupy capacity without working.
void Dispatcher::placeGang(const ReadyStep &ready,
                           const std::vector<EndpointView *> &pool) {
  const size_t count = size_t(ready.Spec->Count);
  const auto from = ready.Job->Tasks.begin() + int64_t(ready.First);
  bool all = std::all_of(
      from, from + int64_t(count), [now = Hooks.Now()](const TaskState &state) {
        return state.Phase == TaskPhase::Waiting && state.NotBefore <= now;
      });
  for (size_t i = 0; all && i < count; ++i)
    all =
        !mayBeInProgress({ready.Record->Id, ready.First + i}, from[int64_t(i)]);
  core::Size total;
  for (size_t i = 0; i < count; ++i)
    total = total + ready.Spec->Need;
  if (!all || !isWithinLimit(ready.Record->Team, total) ||
      !mayOrderStarts(count))
    return;
  int64_t run = 0;
  std::string checkpoint;
  for (size_t i = 0; i < count; ++i) {
    run = std::max(run, from[int64_t(i)].Run);
    if (!from[int64_t(i)].Checkpoint.empty())
      checkpoint = from[int64_t(i)].Checkpoint;
  }
  const auto chosen = prefersPlace(*ready.Spec) ? choosePreferred(ready, pool)
                                                : chooseForGang(ready, pool);
  if (chosen.size() < count)
    return;
  const bool remote = isRemote(*ready.Spec, chosen);
  for (size_t i = 0; i < count; ++i) {
    TaskState &state = ready.Job->Tasks[ready.First + i];
    state.Checkpoint = checkpoint;
    state.Remote = remote;
    startTask({ready.Record->Id, ready.First + i}, *chosen[i],
              nextRunNumber(run));
  }
}

} // namespace almondgate::dispatch
