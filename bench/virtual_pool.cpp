#include "virtual_pool.hpp"

namespace almondgate::bench {

namespace {

const core::PoolId PoolName("p");
constexpr int64_t StepMs = 10;
constexpr int64_t ReportEveryMs = 1000;
constexpr int64_t FailsAfterMs = 1;
constexpr int64_t WaitMs = 600000;

core::VmId vmName(int i) { return core::VmId("v" + std::to_string(i)); }

core::RequestId requestName(uint64_t id) {
  return core::RequestId(std::to_string(id));
}

} // namespace

VirtualPool::VirtualPool(int vms, int64_t slots, placer::PoolOptions options,
                         uint64_t seed)
    : Dice(seed), Slots(int64_t{vms} * slots),
      Book(PoolName, 1, {NowMs}, std::move(options),
           [](const std::string &) {}),
      Vms(vms) {
  View.apply({1, false, model::Pool{PoolName}});
  model::FleetDefaults defaults;
  defaults.MaxWaiting = 5000;
  View.apply({1, false, defaults});
  for (int i = 0; i < vms; ++i) {
    model::Vm vm;
    vm.Id = vmName(i);
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

void VirtualPool::begin() {
  Book.setView(View);
  reportAll();
}

void VirtualPool::reportAll() {
  for (int i = 0; i < Vms; ++i) {
    model::Announcement report;
    report.Vm = vmName(i);
    Book.report(report, time());
  }
}

int64_t VirtualPool::heldBy(const core::TeamId &team) const {
  const auto it = Held.find(team);
  return it == Held.end() ? 0 : it->second;
}

void VirtualPool::submit(Work work) {
  const uint64_t id = NextId++;
  model::GrantRequest request;
  request.Id = requestName(id);
  request.Pool = PoolName;
  request.Team = work.Team;
  request.Class = work.Class;
  request.Need = {1, 1000, 1024, 0};
  request.WaitMs = WaitMs;
  request.Idempotent = true;
  Open.emplace(id, std::move(work));
  ++Waiting;
  Book.enqueue(
      request, [this, id](const auto &grant) { onGrant(id, grant); }, time());
  Book.grantWaiting(time());
}

void VirtualPool::onGrant(uint64_t id,
                          const core::Result<model::Grant> &grant) {
  --Waiting;
  if (!grant) {
    ++Refused;
    Open.erase(id);
    return;
  }
  Work &work = Open.at(id);
  work.StartedMs = NowMs;
  OnVm[id] = grant.value().Vm;
  ++Held[work.Team];
  ++Running;
  const bool fails = Broken >= 0 && grant.value().Vm == vmName(Broken);
  Ends.push({NowMs + (fails ? FailsAfterMs : work.RunMs), id});
}

void VirtualPool::end(uint64_t id) {
  const Work work = Open.at(id);
  const bool failed = Broken >= 0 && OnVm.at(id) == vmName(Broken);
  Open.erase(id);
  OnVm.erase(id);
  --Held[work.Team];
  --Running;
  ++AllRuns;
  failed ? ++FailedRuns : ++Finished;
  Book.release({requestName(id), PoolName,
                failed ? model::RunEnd::Failed : model::RunEnd::Succeeded,
                work.RunMs},
               time());
  Book.grantWaiting(time());
  if (failed) {
    Work again = work;
    again.StartedMs = -1;
    submit(again);
  } else if (Ended) {
    Ended(work);
  }
}

void VirtualPool::runUntil(int64_t ms, const std::function<void()> &every) {
  while (NowMs < ms) {
    NowMs += StepMs;
    while (!Ends.empty() && Ends.top().At <= NowMs) {
      const uint64_t id = Ends.top().Id;
      Ends.pop();
      end(id);
    }
    if (NowMs % ReportEveryMs == 0)
      reportAll();
    Book.expire(time());
    every();
    Book.grantWaiting(time());
  }
}

} // namespace almondgate::bench
