#include "almondgate/placer/pool_scheduler.hpp"

#include <algorithm>

namespace almondgate::placer {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::RequestId;
using core::TeamId;
using core::TimeMs;
using core::VmId;
using model::DefaultField;
using model::GrantRequest;
using model::RunEnd;
using model::WorkClass;

namespace {

// Each successful run counts for 1/16 in the moving average of run durations.
constexpr int64_t MeanRunWeight = 16;

bool excludes(const GrantRequest &request, const VmId &vm) {
  const auto &list = request.Exclude;
  return std::find(list.begin(), list.end(), vm) != list.end();
}

} // namespace

PoolScheduler::PoolScheduler(core::PoolId pool, uint64_t epoch, TimeMs now,
                             PoolOptions options, observe::LogLine log)
    : Pool(std::move(pool)), Epoch(epoch), TakenOverAt(now),
      Options(std::move(options)), Log(std::move(log)) {}

// --- view

void PoolScheduler::setView(const model::View &view) {
  MaxWaiting = model::settingOf(view, Pool, DefaultField::MaxWaiting);
  for (const auto &[id, vm] : view.Vms) {
    if (vm->Pool != Pool)
      continue;
    Vms[id].Record = *vm;
  }
  std::erase_if(Vms, [&](const auto &row) {
    const auto *vm = model::find(view.Vms, row.first);
    return !vm || vm->Pool != Pool;
  });
  Capacity = {};
  for (const auto &[id, vm] : Vms)
    Capacity = Capacity + vm.Record.Capacity;
  for (const auto &[id, team] : view.Teams)
    Teams[id].Share = team->Share;
  for (auto &[id, team] : Teams) {
    const auto *portion = model::find(view.Portions, std::pair(id, Pool));
    team.Portion = portion ? portion->Amount : 0;
  }
}

void PoolScheduler::adoptInventory(const model::Inventory &inventory,
                                   TimeMs now) {
  for (const auto &item : inventory.Items)
    startRun(item.Id,
             {item.Team, item.Queue, item.Vm, item.Need, item.Class, now});
  recountOrphans();
}

// --- runs

void PoolScheduler::startRun(const RequestId &id, ActiveRun run) {
  const auto [it, added] = Runs.emplace(id, std::move(run));
  if (!added)
    return;
  TeamState &team = Teams[it->second.Team];
  ++team.Running;
  UrgentRuns += it->second.Class == WorkClass::Urgent ? 1 : 0;
  team.Held = team.Held + it->second.Need;
  const auto vm = Vms.find(it->second.Vm);
  if (vm == Vms.end())
    return;
  vm->second.Used = vm->second.Used + it->second.Need;
  ++vm->second.Runs;
}

void PoolScheduler::endRun(const RequestId &id) {
  const auto it = Runs.find(id);
  if (it == Runs.end())
    return;
  TeamState &team = Teams[it->second.Team];
  --team.Running;
  UrgentRuns -= it->second.Class == WorkClass::Urgent ? 1 : 0;
  team.Held = team.Held - it->second.Need;
  const auto vm = Vms.find(it->second.Vm);
  if (vm != Vms.end()) {
    vm->second.Used = vm->second.Used - it->second.Need;
    --vm->second.Runs;
  }
  Runs.erase(it);
}

void PoolScheduler::removeWaiting(const RequestId &id) {
  for (auto &[name, team] : Teams) {
    const auto matches = [&](const WaitingRequest &w) {
      return w.Request.Id == id;
    };
    WaitingCount -= int64_t(std::erase_if(team.Urgent, matches));
    WaitingCount -= int64_t(std::erase_if(team.Batch, matches));
  }
}

void PoolScheduler::recordRelease(const RequestId &id, TimeMs now) {
  if (ReleasedIds.insert(id).second)
    ReleaseOrder.push_back({id, now});
}

void PoolScheduler::release(const model::Release &release, TimeMs now) {
  const auto it = Runs.find(release.Id);
  if (it == Runs.end()) {
    removeWaiting(release.Id);
    // A release may overtake its request, which must then not be granted.
    recordRelease(release.Id, now);
    return;
  }
  const auto vm = Vms.find(it->second.Vm);
  const bool has_outcome =
      release.End == RunEnd::Succeeded || release.End == RunEnd::Failed;
  if (release.End == RunEnd::Succeeded) {
    auto &mean =
        it->second.Class == WorkClass::Batch ? MeanBatchRun : MeanUrgentRun;
    mean = (mean * (MeanRunWeight - 1) + DurationMs{release.RunMs}) /
           MeanRunWeight;
  }
  endRun(release.Id);
  recordRelease(release.Id, now);
  if (has_outcome && vm != Vms.end())
    recordOutcome(vm->second, release.End == RunEnd::Succeeded, now);
}

// --- waiting requests

void PoolScheduler::enqueue(const GrantRequest &request, OnGrant done,
                            TimeMs now) {
  if (ReleasedIds.contains(request.Id)) {
    done(Error{ErrorCode::Cancelled, "request '" + request.Id.str() +
                                         "' was released before it arrived"});
    return;
  }
  if (WaitingCount >= MaxWaiting) {
    Log("request " + request.Id.str() + " rejected: " +
        std::to_string(WaitingCount) + " requests wait for pool " + Pool.str() +
        ", limit " + std::to_string(MaxWaiting));
    done(Error{ErrorCode::Overloaded,
               "too many requests wait for pool '" + Pool.str() + "'"});
    return;
  }
  TeamState &team = Teams[request.Team];
  const bool urgent = request.Class == WorkClass::Urgent;
  auto &queue = urgent ? team.Urgent : team.Batch;
  queue.push_back(
      {request, std::move(done), now, now + DurationMs{request.WaitMs}});
  ++WaitingCount;
  if (!urgent)
    return;
  Headroom = Headroom.withArrival(now);
}

void PoolScheduler::expire(TimeMs now) {
  std::vector<WaitingRequest> expired;
  for (auto &[id, team] : Teams) {
    for (auto *queue : {&team.Urgent, &team.Batch}) {
      for (auto &waiting : *queue)
        if (now >= waiting.Deadline)
          expired.push_back(std::move(waiting));
      std::erase_if(*queue,
                    [&](const WaitingRequest &w) { return now >= w.Deadline; });
    }
  }
  WaitingCount -= int64_t(expired.size());
  for (const auto &waiting : expired) {
    const std::string wait = std::to_string(waiting.Request.WaitMs) + " ms";
    Log("request " + waiting.Request.Id.str() + " rejected: no slot in pool " +
        Pool.str() + " within " + wait);
    waiting.Done(Error{ErrorCode::NoCapacity, "no slot in pool '" + Pool.str() +
                                                  "' became free within " +
                                                  wait});
  }
  while (!ReleaseOrder.empty() &&
         now - ReleaseOrder.front().ReleasedAt > Options.ReleaseRetention) {
    ReleasedIds.erase(ReleaseOrder.front().Id);
    ReleaseOrder.pop_front();
  }
}

void PoolScheduler::rejectWaiting(const Error &error) {
  std::vector<WaitingRequest> all;
  for (auto &[id, team] : Teams) {
    for (auto *queue : {&team.Urgent, &team.Batch}) {
      for (auto &waiting : *queue)
        all.push_back(std::move(waiting));
      queue->clear();
    }
  }
  WaitingCount = 0;
  for (const auto &waiting : all)
    waiting.Done(error);
}

// --- grants

std::vector<policy::TeamLoad> PoolScheduler::teamLoads() const {
  std::vector<policy::TeamLoad> out;
  for (const auto &[id, team] : Teams) {
    if (team.waiting() == 0)
      continue;
    policy::TeamLoad load;
    load.Team = id;
    load.Share = team.Share;
    load.DominantFraction = core::dominantFraction(team.Held, Capacity);
    load.Running = team.running();
    load.MaxRunning = team.runLimit();
    load.HasUrgent = !team.Urgent.empty();
    const auto &first = team.Urgent.empty() ? team.Batch : team.Urgent;
    load.OldestMs = first.front().ArrivedAt.Count;
    out.push_back(std::move(load));
  }
  return out;
}

std::vector<policy::VmLoad>
PoolScheduler::candidateLoads(const GrantRequest &request, TimeMs now) const {
  std::vector<policy::VmLoad> out;
  std::vector<policy::VmLoad> excluded;
  for (const auto &[id, vm] : Vms) {
    if (!canAccept(vm, request, now))
      continue;
    auto &list = excludes(request, id) ? excluded : out;
    list.push_back(
        {id, vm.Record.Capacity, freeCapacity(vm), vm.Outcomes.count(now)});
  }
  // A request that has failed on every VM may run on any of them again.
  return out.empty() ? excluded : out;
}

bool PoolScheduler::leavesHeadroom(const GrantRequest &request,
                                   TimeMs now) const {
  if (request.Class == WorkClass::Urgent)
    return true;
  policy::PoolLoad load;
  load.Now = now;
  load.UrgentRunning = UrgentRuns;
  load.MeanUrgentRun = MeanUrgentRun;
  load.BatchRunning = int64_t(Runs.size()) - UrgentRuns;
  load.MeanBatchRun = MeanBatchRun;
  load.Slots = Capacity.Slots;
  const int64_t keep = Options.ComputeHeadroom(Headroom, load);
  return keep == 0 || freeSlots(now) - request.Need.Slots >= keep;
}

bool PoolScheduler::grantFrom(std::deque<WaitingRequest> &queue, TimeMs now) {
  size_t tried = 0;
  for (auto it = queue.begin(); it != queue.end(); ++it) {
    if (!leavesHeadroom(it->Request, now))
      return false;
    const auto vm =
        Options.ChooseVm(candidateLoads(it->Request, now), it->Request.Need);
    if (vm) {
      WaitingRequest chosen = std::move(*it);
      queue.erase(it);
      --WaitingCount;
      grant(chosen, *vm, now);
      return true;
    }
    const bool too_old = now - it->ArrivedAt > Options.MaxOvertakenWait;
    if (too_old || ++tried >= Options.LookAheadLimit)
      return false;
  }
  return false;
}

bool PoolScheduler::grantNext(TeamState &team, TimeMs now) {
  return grantFrom(team.Urgent, now) || grantFrom(team.Batch, now);
}

void PoolScheduler::grantWaiting(TimeMs now) {
  bool placed = WaitingCount > 0;
  while (placed) {
    placed = false;
    for (const auto &id : Options.OrderTeams(teamLoads())) {
      placed = grantNext(Teams[id], now);
      if (placed)
        break;
    }
  }
}

void PoolScheduler::grant(const WaitingRequest &waiting, const VmId &vm,
                          TimeMs now) {
  const auto &request = waiting.Request;
  const VmState &state = Vms.at(vm);
  startRun(request.Id,
           {request.Team, request.Queue, vm, request.Need, request.Class, now});
  Log("request " + request.Id.str() + " team " + request.Team.str() + " -> " +
      vm.str() + " (" + (state.Ejected ? "probe" : "least loaded") + ", " +
      std::to_string(state.Used.Slots) + "/" +
      std::to_string(state.Record.Capacity.Slots) + " slots, " +
      std::to_string(WaitingCount) + " waiting)");
  model::Grant out;
  out.Id = request.Id;
  out.Pool = Pool;
  out.Vm = vm;
  out.Endpoint = state.Record.Endpoint;
  out.Epoch = Epoch;
  out.WaitedMs = (now - waiting.ArrivedAt).Count;
  waiting.Done(out);
}

// --- portions and demands

void PoolScheduler::liftCap(const TeamId &team) { Teams[team].Cap.reset(); }

int64_t PoolScheduler::capPortion(const TeamId &team, int64_t amount) {
  TeamState &state = Teams[team];
  const int64_t cap =
      std::min(state.runLimit(), std::max(amount, state.running()));
  state.Cap = cap;
  return cap;
}

std::vector<model::Demand> PoolScheduler::demands() const {
  std::vector<model::Demand> out;
  for (const auto &[id, team] : Teams) {
    if (team.running() > 0 || team.waiting() > 0)
      out.push_back({Pool, id, team.running(), team.waiting()});
  }
  return out;
}

bool PoolScheduler::needsLargerPortion() const {
  return std::any_of(Teams.begin(), Teams.end(), [](const auto &row) {
    const TeamState &team = row.second;
    return team.waiting() > 0 && team.running() >= team.runLimit();
  });
}

} // namespace almondgate::placer
