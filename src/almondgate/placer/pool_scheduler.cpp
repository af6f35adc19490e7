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

constexpr int64_t MeanWeight = 16;

bool excludes(const GrantRequest &request, const VmId &vm) {
  const auto &list = request.Exclude;
  return std::find(list.begin(), list.end(), vm) != list.end();
}

} // namespace

PoolScheduler::PoolScheduler(core::PoolId pool, uint64_t epoch, TimeMs now,
                             PoolOptions options, observe::LogLine log)
    : Pool(std::move(pool)), Epoch(epoch), TakenOverAt(now),
      Options(std::move(options)), Log(std::move(log)) {}

// --- the view

void PoolScheduler::setView(const model::View &view) {
  MaxWaiting = model::settingOf(view, Pool, DefaultField::MaxWaiting);
  for (const auto &[id, vm] : view.Vms) {
    if (vm->Pool != Pool)
      continue;
    Vms[id].Facts = *vm;
  }
  std::erase_if(Vms, [&](const auto &row) {
    const auto *vm = model::find(view.Vms, row.first);
    return !vm || vm->Pool != Pool;
  });
  Capacity = {};
  for (const auto &[id, vm] : Vms)
    Capacity = Capacity + vm.Facts.Capacity;
  for (const auto &[id, team] : view.Teams)
    Teams[id].Share = team->Share;
  for (auto &[id, team] : Teams) {
    const auto *portion = model::find(view.Portions, std::pair(id, Pool));
    const int64_t amount = portion ? portion->Amount : 0;
    if (team.Cap && amount <= *team.Cap)
      team.Cap.reset();
    team.Portion = amount;
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

void PoolScheduler::startRun(const RequestId &id, Running run) {
  const auto [it, added] = Runs.emplace(id, std::move(run));
  if (!added)
    return;
  TeamBook &team = Teams[it->second.Team];
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
  TeamBook &team = Teams[it->second.Team];
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

void PoolScheduler::dropWaiting(const RequestId &id) {
  for (auto &[name, team] : Teams) {
    const auto asked = [&](const Waiting &w) { return w.Request.Id == id; };
    Waits -= int64_t(std::erase_if(team.Urgent, asked));
    Waits -= int64_t(std::erase_if(team.Batch, asked));
  }
}

void PoolScheduler::noteReleased(const RequestId &id, TimeMs now) {
  if (Released.insert(id).second)
    ReleasedOrder.push_back({id, now});
}

void PoolScheduler::release(const model::Release &release, TimeMs now) {
  const auto it = Runs.find(release.Id);
  if (it == Runs.end()) {
    dropWaiting(release.Id);
    // A request that arrives after its release must not be granted.
    noteReleased(release.Id, now);
    return;
  }
  const auto vm = Vms.find(it->second.Vm);
  const bool judged =
      release.End == RunEnd::Succeeded || release.End == RunEnd::Failed;
  if (release.End == RunEnd::Succeeded) {
    auto &mean =
        it->second.Class == WorkClass::Batch ? MeanBatchRun : MeanUrgentRun;
    mean = (mean * (MeanWeight - 1) + DurationMs{release.RunMs}) / MeanWeight;
  }
  endRun(release.Id);
  noteReleased(release.Id, now);
  if (judged && vm != Vms.end())
    noteOutcome(vm->second, release.End == RunEnd::Succeeded, now);
}

// --- waiting

void PoolScheduler::enqueue(const GrantRequest &request, OnGrant done,
                            TimeMs now) {
  if (Released.contains(request.Id)) {
    done(Error{ErrorCode::Cancelled, "the request was withdrawn"});
    return;
  }
  if (Waits >= MaxWaiting) {
    Log("request " + request.Id.str() + " refused: " + std::to_string(Waits) +
        " wait in " + Pool.str());
    done(Error{ErrorCode::Overloaded, "too many requests wait for the pool"});
    return;
  }
  TeamBook &team = Teams[request.Team];
  const bool urgent = request.Class == WorkClass::Urgent;
  auto &queue = urgent ? team.Urgent : team.Batch;
  queue.push_back(
      {request, std::move(done), now, now + DurationMs{request.WaitMs}});
  ++Waits;
  if (!urgent)
    return;
  Headroom = Headroom.withArrival(now);
}

void PoolScheduler::expire(TimeMs now) {
  std::vector<Waiting> late;
  for (auto &[id, team] : Teams) {
    for (auto *queue : {&team.Urgent, &team.Batch}) {
      for (auto &waiting : *queue)
        if (now >= waiting.Until)
          late.push_back(std::move(waiting));
      std::erase_if(*queue, [&](const Waiting &w) { return now >= w.Until; });
    }
  }
  Waits -= int64_t(late.size());
  for (const auto &waiting : late) {
    Log("request " + waiting.Request.Id.str() + " refused: no slot in time");
    waiting.Done(Error{ErrorCode::NoCapacity, "no slot came free in time"});
  }
  while (!ReleasedOrder.empty() &&
         now - ReleasedOrder.front().At > Options.ReleaseRetention) {
    Released.erase(ReleasedOrder.front().Id);
    ReleasedOrder.pop_front();
  }
}

void PoolScheduler::rejectWaiting(const Error &error) {
  std::vector<Waiting> all;
  for (auto &[id, team] : Teams) {
    for (auto *queue : {&team.Urgent, &team.Batch}) {
      for (auto &waiting : *queue)
        all.push_back(std::move(waiting));
      queue->clear();
    }
  }
  Waits = 0;
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
    load.MaxRunning = team.mayRun();
    load.HasUrgent = !team.Urgent.empty();
    const auto &first = team.Urgent.empty() ? team.Batch : team.Urgent;
    load.OldestMs = first.front().Arrived.Count;
    out.push_back(std::move(load));
  }
  return out;
}

std::vector<policy::VmLoad> PoolScheduler::loadsFor(const GrantRequest &request,
                                                    TimeMs now) const {
  std::vector<policy::VmLoad> out;
  std::vector<policy::VmLoad> excluded;
  for (const auto &[id, vm] : Vms) {
    if (!mayTake(vm, request, now))
      continue;
    auto &list = excludes(request, id) ? excluded : out;
    list.push_back({id, vm.Facts.Capacity, freeOf(vm), vm.Outcomes.count(now)});
  }
  // Where a request has failed on every VM it may go to any again.
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

bool PoolScheduler::placeFrom(std::deque<Waiting> &queue, TimeMs now) {
  size_t looked = 0;
  for (auto it = queue.begin(); it != queue.end(); ++it) {
    if (!leavesHeadroom(it->Request, now))
      return false;
    const auto vm =
        Options.ChooseVm(loadsFor(it->Request, now), it->Request.Need);
    if (vm) {
      Waiting chosen = std::move(*it);
      queue.erase(it);
      --Waits;
      grant(chosen, *vm, now);
      return true;
    }
    const bool too_old = now - it->Arrived > Options.MaxOvertakenWait;
    if (too_old || ++looked >= Options.LookAheadLimit)
      return false;
  }
  return false;
}

bool PoolScheduler::placeOne(TeamBook &team, TimeMs now) {
  return placeFrom(team.Urgent, now) || placeFrom(team.Batch, now);
}

void PoolScheduler::grantWaiting(TimeMs now) {
  bool placed = Waits > 0;
  while (placed) {
    placed = false;
    for (const auto &id : Options.OrderTeams(teamLoads())) {
      placed = placeOne(Teams[id], now);
      if (placed)
        break;
    }
  }
}

void PoolScheduler::grant(const Waiting &waiting, const VmId &vm, TimeMs now) {
  const auto &request = waiting.Request;
  const VmBook &book = Vms.at(vm);
  startRun(request.Id,
           {request.Team, request.Queue, vm, request.Need, request.Class, now});
  Log("request " + request.Id.str() + " team " + request.Team.str() + " -> " +
      vm.str() + " (" + (book.Ejected ? "probe" : "least loaded") + ", " +
      std::to_string(book.Used.Slots) + "/" +
      std::to_string(book.Facts.Capacity.Slots) + " slots, " +
      std::to_string(Waits) + " wait)");
  model::Grant out;
  out.Id = request.Id;
  out.Pool = Pool;
  out.Vm = vm;
  out.Endpoint = book.Facts.Endpoint;
  out.Epoch = Epoch;
  out.WaitedMs = (now - waiting.Arrived).Count;
  waiting.Done(out);
}

// --- portions and reports

int64_t PoolScheduler::capPortion(const TeamId &team, int64_t amount) {
  TeamBook &book = Teams[team];
  const int64_t cap = std::min(book.mayRun(), std::max(amount, book.running()));
  book.Cap = cap;
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
    const TeamBook &team = row.second;
    return team.waiting() > 0 && team.running() >= team.mayRun();
  });
}

} // namespace almondgate::placer
