#include "almondgate/dispatch/dispatcher.hpp"

#include "ready_step.hpp"
#include "run_accounting.hpp"
#include "step_candidates.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

// True if at least half of the capacity is free.
bool isIdle(const core::Size &used, const core::Size &capacity) {
  return 2 * used.MilliCpus <= capacity.MilliCpus;
}

using EndpointList = std::vector<EndpointView *>;

// The endpoints with the label, by rack or all in one group, in the order in
// which they are tried.
std::vector<EndpointList> groupsOf(const EndpointList &pool, bool by_rack,
                                   const std::string &label) {
  std::map<core::RackId, EndpointList> racks;
  for (auto *endpoint : pool)
    if (hasLabel(*endpoint, label))
      racks[by_rack ? endpoint->Facts.Rack : core::RackId()].push_back(
          endpoint);
  std::vector<EndpointList> out;
  for (auto it = racks.rbegin(); it != racks.rend(); ++it)
    out.push_back(std::move(it->second));
  return out;
}

std::string describe(const jobs::JobId &job, int64_t occurrence, int64_t step) {
  return "job " + job.str() + " step " + std::to_string(occurrence) + "." +
         std::to_string(step);
}

} // namespace

NearWaits::Hooks Dispatcher::nearWaitHooks() {
  return {
      Hooks.Now,
      [this](const EndpointView &endpoint) { return expectedRuns(endpoint); },
      Hooks.Policies.NearWait, Hooks.IncrementCounter, Hooks.Log};
}

void Dispatcher::beginNearWaitPass() {
  NearGroups.clear();
  NearPlaces.beginPass();
}

int64_t Dispatcher::nearRunMs(const core::QueueId &queue,
                              const jobs::StepSpec &step) const {
  const int64_t mean = runTimeEstimator(queue)(step);
  const auto share = RemoteShares.find(queue);
  return share == RemoteShares.end() || !Hooks.Policies.LearnRunTimes
             ? mean
             : share->second.nearRunMs(mean, Options.RemoteFactor);
}

std::vector<ExpectedRun>
Dispatcher::expectedRuns(const EndpointView &endpoint) const {
  std::vector<ExpectedRun> out;
  for (const auto &task_key : endpoint.Runs) {
    const auto job = OpenJobs.find(task_key.first);
    if (job == OpenJobs.end())
      continue;
    const jobs::JobRecord &record = *job->second.Record;
    const auto task =
        jobs::taskAt(task_key.first, *record.Spec, task_key.second);
    const jobs::StepSpec &step = record.Spec->Steps[size_t(task.Step)];
    if (step.LongRunning)
      continue;
    const TaskState &state = job->second.Tasks[task_key.second];
    const double factor = state.Remote ? Options.RemoteFactor : 1;
    out.push_back({state.Since,
                   int64_t(double(nearRunMs(record.Queue, step)) * factor),
                   requiredCapacity(step)});
  }
  return out;
}

NearGroup &Dispatcher::nearGroupOf(const ReadyStep &ready,
                                   const std::vector<EndpointView *> &pool) {
  const auto [it, added] =
      NearGroups.try_emplace({ready.Job->pool(), ready.Spec->Affinity});
  NearGroup &group = it->second;
  if (!added)
    return group;
  core::Size used;
  core::Size capacity;
  for (auto *endpoint : pool) {
    if (hasLabel(*endpoint, ready.Spec->Affinity.str())) {
      group.Near.push_back(endpoint);
      continue;
    }
    used = used + endpoint->Used;
    capacity = capacity + endpoint->Facts.Capacity;
    group.LargestFreeElsewhere =
        std::max(group.LargestFreeElsewhere,
                 endpoint->Facts.Capacity.MilliCpus - endpoint->Used.MilliCpus);
  }
  group.IdleElsewhere = isIdle(used, capacity);
  return group;
}

NearWait &Dispatcher::nearWaitOf(const ReadyStep &ready) {
  return ready.Job->NearWaits[{ready.Occurrence, ready.Step}];
}

NearWaits::Request Dispatcher::nearWaitRequest(const ReadyStep &ready) const {
  NearWaits::Request out;
  const jobs::StepSpec &step = *ready.Spec;
  out.Name = describe(ready.Record->Id, ready.Occurrence, ready.Step);
  out.Place = step.Affinity.empty() ? std::string("one rack")
                                    : "rack " + step.Affinity.str();
  out.Task.Need = requiredCapacity(step);
  out.Task.Count = step.Gang ? step.Count : 1;
  out.Task.MaxPerEndpoint = step.AntiAffinity;
  out.Task.RunMs = nearRunMs(ready.Record->Queue, step);
  out.SlackMs = ready.SlackMs;
  return out;
}

bool Dispatcher::placeNearData(const ReadyStep &ready,
                               const std::vector<EndpointView *> &pool,
                               const std::vector<size_t> &tasks) {
  const jobs::StepSpec &step = *ready.Spec;
  const core::Size need = requiredCapacity(step);
  const bool constrained = isConstrained(ready);
  NearGroup &group = nearGroupOf(ready, pool);
  NearWait &wait = nearWaitOf(ready);
  const auto name = [&ready] {
    return describe(ready.Record->Id, ready.Occurrence, ready.Step);
  };
  size_t next = 0;
  bool full = !constrained && group.SmallestUnplaced &&
              core::fits(*group.SmallestUnplaced, need);
  if (!full) {
    auto near = candidatesFor(ready, group.Near);
    for (; next < tasks.size() && !full; next += full ? 0 : 1) {
      if (!mayStartTask(ready)) {
        NearPlaces.onPlacedNear(wait, name(), int64_t(next));
        return true;
      }
      full = !placeTask(ready, tasks[next], near);
    }
    if (next > 0)
      NearPlaces.onPlacedNear(wait, name(), int64_t(next));
  }
  if (next == tasks.size())
    return true;
  if (!constrained &&
      (!group.SmallestUnplaced || core::fits(need, *group.SmallestUnplaced)))
    group.SmallestUnplaced = need;
  // A task that could not start elsewhere either does not wait for a nearby
  // place, but for any.
  if (wait.Waiting == 0 && need.MilliCpus > group.LargestFreeElsewhere)
    return false;
  NearWaits::Request request = nearWaitRequest(ready);
  request.Count = int64_t(tasks.size() - next);
  request.PoolIdle = group.IdleElsewhere;
  const auto eligible = constrained ? eligibleFor(ready, group.Near)
                                    : std::vector<EndpointView *>();
  if (step.AntiAffinity > 0)
    request.MaxWaiting =
        step.AntiAffinity * int64_t(group.Near.size()) - countOnNear(ready);
  request.Groups = {constrained ? &eligible : &group.Near};
  const size_t end = tasks.size() - size_t(NearPlaces.decide(wait, request));
  if (next == end)
    return true;
  auto anywhere = candidatesFor(ready, pool);
  for (; next < end; ++next) {
    if (!mayStartTask(ready))
      return true;
    if (!placeTask(ready, tasks[next], anywhere))
      return false;
  }
  return true;
}

int64_t Dispatcher::countOnNear(const ReadyStep &ready) const {
  int64_t count = 0;
  for (size_t i = ready.First; i < ready.First + size_t(ready.Spec->Count);
       ++i) {
    const TaskState &state = ready.Job->Tasks[i];
    count += state.isPlaced() && !state.Remote ? 1 : 0;
  }
  return count;
}

std::vector<EndpointView *>
Dispatcher::eligibleFor(const ReadyStep &ready,
                        const std::vector<EndpointView *> &endpoints) const {
  const auto *tickets = ready.Job->findTickets(ready.Occurrence, ready.Step);
  const auto now = Hooks.Now();
  std::vector<EndpointView *> out;
  for (auto *endpoint : endpoints)
    if (hasLabel(*endpoint, ready.Spec->Label) &&
        (!tickets || tickets->permits(endpoint->Facts, TicketUse::Plan, now)))
      out.push_back(endpoint);
  return out;
}

bool Dispatcher::prefersPlace(const jobs::StepSpec &step) {
  return !step.Affinity.empty() || (step.Gang && step.SameRack);
}

bool Dispatcher::isRemote(const jobs::StepSpec &step,
                          const std::vector<EndpointView *> &at) {
  return std::any_of(at.begin(), at.end(), [&](const EndpointView *endpoint) {
    const bool other_rack =
        step.SameRack && endpoint->Facts.Rack != at.front()->Facts.Rack;
    return other_rack || !hasLabel(*endpoint, step.Affinity.str());
  });
}

bool Dispatcher::waitsForNearPlace(
    const ReadyStep &ready, const std::vector<EndpointView *> &pool,
    const std::vector<std::vector<EndpointView *>> &near) {
  NearWaits::Request request = nearWaitRequest(ready);
  request.Count = 1;
  core::Size used;
  core::Size capacity;
  for (const auto *endpoint : pool) {
    used = used + endpoint->Used;
    capacity = capacity + endpoint->Facts.Capacity;
  }
  request.PoolIdle = isIdle(used, capacity);
  std::vector<std::vector<EndpointView *>> eligible;
  eligible.reserve(near.size());
  for (const auto &group : near)
    eligible.push_back(eligibleFor(ready, group));
  for (const auto &group : eligible)
    request.Groups.push_back(&group);
  return NearPlaces.decide(nearWaitOf(ready), request) > 0;
}

std::vector<EndpointView *>
Dispatcher::choosePreferred(const ReadyStep &ready,
                            const std::vector<EndpointView *> &pool) {
  const size_t count = size_t(ready.Spec->Count);
  const auto choose = [&](const auto &groups) {
    for (const auto &members : groups)
      if (auto chosen = chooseForGang(ready, members); chosen.size() == count)
        return chosen;
    return EndpointList();
  };
  NearWait &wait = nearWaitOf(ready);
  const bool same_rack = ready.Spec->SameRack;
  const auto near = groupsOf(pool, same_rack, ready.Spec->Affinity.str());
  auto chosen = choose(near);
  if (!chosen.empty()) {
    NearPlaces.onPlacedNear(
        wait, describe(ready.Record->Id, ready.Occurrence, ready.Step), 1);
    return chosen;
  }
  // Once it waits, other places are looked at only when the wait has ended.
  const bool waits = wait.Waiting > 0;
  const bool may_wait = !waits && !ready.Spec->LongRunning;
  if (waits && waitsForNearPlace(ready, pool, near))
    return {};
  auto elsewhere = same_rack && !ready.Spec->Affinity.empty()
                       ? groupsOf(pool, same_rack, "")
                       : std::vector<EndpointList>();
  elsewhere.push_back(pool);
  chosen = choose(elsewhere);
  if (may_wait && !chosen.empty() && waitsForNearPlace(ready, pool, near))
    return {};
  return chosen;
}

} // namespace almondgate::dispatch
