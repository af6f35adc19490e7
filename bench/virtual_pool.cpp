#include "virtual_pool.hpp"

namespace almondgate::bench {

namespace {

const core::PoolId PoolName("p");
constexpr int64_t StepMs = 10;
constexpr int64_t ReportIntervalMs = 1000;
constexpr int64_t FailureDelayMs = 1;
constexpr int64_t WaitMs = 600000;

core::VmId vmId(int i) { return core::VmId("v" + std::to_string(i)); }

core::RequestId requestId(uint64_t id) {
  return core::RequestId(std::to_string(id));
}

} // namespace

VirtualPool::VirtualPool(int vms, int64_t slots, placer::PoolOptions options,
                         uint64_t seed)
    : Rng(seed), Slots(int64_t{vms} * slots),
      Scheduler(PoolName, 1, {NowMs}, std::move(options),
                [](const std::string &) {}),
      Vms(vms) {
  View.apply({1, false, model::Pool{PoolName}});
  model::FleetDefaults defaults;
  defaults.MaxWaiting = 5000;
  View.apply({1, false, defaults});
  for (int i = 0; i < vms; ++i) {
    model::Vm vm;
    vm.Id = vmId(i);
    vm.Pool = PoolName;
    vm.Capacity = {slots, 64000, int64_t{256} * 1024, 0};
    View.apply({1, false, vm});
  }
}

void VirtualPool::addTeam(const core::TeamId &team, int64_t share) {
  constexpr int64_t NoLimit = 100000;
  View.apply({1, false, model::Team{team, share, NoLimit}});
  View.apply({1, false, model::Portion{team, PoolName, NoLimit}});
}

void VirtualPool::start() {
  Scheduler.setView(View);
  reportAll();
}

void VirtualPool::reportAll() {
  for (int i = 0; i < Vms; ++i) {
    model::Announcement report;
    report.Vm = vmId(i);
    Scheduler.report(report, time());
  }
}

int64_t VirtualPool::slotsHeldBy(const core::TeamId &team) const {
  const auto it = SlotsHeld.find(team);
  return it == SlotsHeld.end() ? 0 : it->second;
}

void VirtualPool::submit(Work work) {
  const uint64_t id = NextId++;
  model::GrantRequest request;
  request.Id = requestId(id);
  request.Pool = PoolName;
  request.Team = work.Team;
  request.Class = work.Class;
  request.Need = {1, 1000, 1024, 0};
  request.WaitMs = WaitMs;
  request.Idempotent = true;
  OpenWork.emplace(id, std::move(work));
  ++Waiting;
  Scheduler.enqueue(
      request, [this, id](const auto &grant) { onGrant(id, grant); }, time());
  Scheduler.grantWaiting(time());
}

void VirtualPool::onGrant(uint64_t id,
                          const core::Result<model::Grant> &grant) {
  --Waiting;
  if (!grant) {
    ++Refused;
    OpenWork.erase(id);
    return;
  }
  Work &work = OpenWork.at(id);
  work.StartedMs = NowMs;
  VmOfWork[id] = grant.value().Vm;
  ++SlotsHeld[work.Team];
  ++Running;
  const bool fails = BrokenVm >= 0 && grant.value().Vm == vmId(BrokenVm);
  PendingEnds.push({NowMs + (fails ? FailureDelayMs : work.RunMs), id});
}

void VirtualPool::end(uint64_t id) {
  const Work work = OpenWork.at(id);
  const bool failed = BrokenVm >= 0 && VmOfWork.at(id) == vmId(BrokenVm);
  OpenWork.erase(id);
  VmOfWork.erase(id);
  --SlotsHeld[work.Team];
  --Running;
  ++AllRuns;
  failed ? ++FailedRuns : ++Finished;
  Scheduler.release({requestId(id), PoolName,
                     failed ? model::RunEnd::Failed : model::RunEnd::Succeeded,
                     work.RunMs},
                    time());
  Scheduler.grantWaiting(time());
  if (failed) {
    Work retry = work;
    retry.StartedMs = -1;
    submit(retry);
  } else if (OnEnded) {
    OnEnded(work);
  }
}

void VirtualPool::runUntil(int64_t ms, const std::function<void()> &on_step) {
  while (NowMs < ms) {
    NowMs += StepMs;
    while (!PendingEnds.empty() && PendingEnds.top().At <= NowMs) {
      const uint64_t id = PendingEnds.top().Id;
      PendingEnds.pop();
      end(id);
    }
    if (NowMs % ReportIntervalMs == 0)
      reportAll();
    Scheduler.expire(time());
    on_step();
    Scheduler.grantWaiting(time());
  }
}

} // namespace almondgate::bench
