#include "almondgate/placer/pool_scheduler.hpp"

#include <algorithm>

namespace almondgate::placer {

using core::DurationMs;
using core::Size;
using core::TimeMs;
using model::GrantRequest;

bool PoolScheduler::reportsWell(const VmBook &vm, TimeMs now) const {
  return vm.Reported && vm.Last.Ready && !vm.Last.Leaving &&
         vm.ReportedAt >= TakenOverAt &&
         now - vm.ReportedAt <= Options.MaxReportAge;
}

bool PoolScheduler::isHealthy(const VmBook &vm, TimeMs now) const {
  return !vm.Ejected && reportsWell(vm, now);
}

bool PoolScheduler::mayTake(const VmBook &vm, const GrantRequest &request,
                            TimeMs now) const {
  if (vm.Facts.Phase != model::VmPhase::Active || vm.Facts.Leaving ||
      vm.Facts.MovedAt != 0)
    return false;
  const bool may_probe =
      request.Idempotent && now >= vm.ProbeFrom && vm.Runs == 0;
  return (!vm.Ejected || may_probe) && reportsWell(vm, now);
}

Size PoolScheduler::freeOf(const VmBook &vm) const {
  Size free = vm.Facts.Capacity - vm.Used;
  free.Slots -= int64_t(vm.Orphans.size());
  return free;
}

int64_t PoolScheduler::freeSlots(TimeMs now) const {
  int64_t n = 0;
  for (const auto &[id, vm] : Vms)
    if (mayTake(vm, GrantRequest{}, now))
      n += std::max<int64_t>(0, freeOf(vm).Slots);
  return n;
}

void PoolScheduler::report(const model::Announcement &announcement,
                           TimeMs now) {
  const auto it = Vms.find(announcement.Vm);
  if (it == Vms.end())
    return;
  VmBook &vm = it->second;
  vm.Last = announcement;
  vm.Reported = true;
  vm.ReportedAt = now;
  recountOrphans();
}

void PoolScheduler::recountOrphans() {
  for (auto &[id, team] : Teams)
    team.Orphans = 0;
  for (auto &[id, vm] : Vms) {
    vm.Orphans.clear();
    for (const auto &request : vm.Last.Running) {
      if (Runs.contains(request.Id) || Released.contains(request.Id))
        continue;
      vm.Orphans.push_back(request);
      ++Teams[request.Team].Orphans;
    }
  }
}

void PoolScheduler::noteOutcome(VmBook &vm, bool success, TimeMs now) {
  vm.Outcomes = vm.Outcomes.withOutcome(now, success);
  if (!success)
    returnIfAllFail(now);
  if (!vm.Ejected) {
    if (!success)
      considerEjection(vm, now);
    return;
  }
  if (success) {
    vm.Ejected = false;
    vm.Ejections = 0;
    vm.Outcomes = {};
    Log("vm " + vm.Facts.Id.str() + " back: its probe succeeded");
    return;
  }
  const DurationMs wait =
      Options.InitialEjection * (int64_t{1} << vm.Ejections);
  vm.ProbeFrom = now + std::min(wait, Options.MaxEjection);
  vm.Ejections = std::min<int64_t>(vm.Ejections + 1, 10);
}

policy::EjectionStats PoolScheduler::ejectionCase(const VmBook &vm,
                                                  TimeMs now) const {
  policy::EjectionStats c;
  c.PoolSize = int64_t(Vms.size());
  c.Runs = vm.Outcomes.count(now);
  c.Failures = vm.Outcomes.failures(now);
  for (const auto &[id, other] : Vms) {
    c.AlreadyEjected += other.Ejected ? 1 : 0;
    if (id == vm.Facts.Id)
      continue;
    c.OtherRuns += other.Outcomes.count(now);
    c.OtherFailures += other.Outcomes.failures(now);
  }
  return c;
}

void PoolScheduler::returnIfAllFail(TimeMs now) {
  for (auto &[id, vm] : Vms) {
    if (!vm.Ejected || !policy::restOfPoolFails(ejectionCase(vm, now)))
      continue;
    vm.Ejected = false;
    vm.Ejections = 0;
    Log("vm " + id.str() + " back: the rest of the pool fails too");
  }
}

void PoolScheduler::considerEjection(VmBook &vm, TimeMs now) {
  const auto c = ejectionCase(vm, now);
  if (!policy::mustEject(c))
    return;
  vm.Ejected = true;
  vm.Ejections = 1;
  vm.ProbeFrom = now + Options.InitialEjection;
  Log("vm " + vm.Facts.Id.str() + " ejected: " + std::to_string(c.Failures) +
      " of " + std::to_string(c.Runs) + " runs failed");
}

std::vector<model::VmStatus> PoolScheduler::vmStatuses(TimeMs now) const {
  std::vector<model::VmStatus> out;
  for (const auto &[id, vm] : Vms)
    if (vm.Reported && vm.ReportedAt >= TakenOverAt)
      out.push_back(
          {id, vm.Runs + int64_t(vm.Orphans.size()), isHealthy(vm, now)});
  return out;
}

} // namespace almondgate::placer
