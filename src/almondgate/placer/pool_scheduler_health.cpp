#include "almondgate/placer/pool_scheduler.hpp"

#include <algorithm>

namespace almondgate::placer {

using core::DurationMs;
using core::Size;
using core::TimeMs;
using model::GrantRequest;

bool PoolScheduler::isReportedReady(const VmState &vm, TimeMs now) const {
  return vm.HasReport && vm.LastReport.Ready && !vm.LastReport.Leaving &&
         vm.ReportedAt >= TakenOverAt &&
         now - vm.ReportedAt <= Options.MaxReportAge;
}

bool PoolScheduler::isHealthy(const VmState &vm, TimeMs now) const {
  return !vm.Ejected && isReportedReady(vm, now);
}

bool PoolScheduler::canAccept(const VmState &vm, const GrantRequest &request,
                              TimeMs now) const {
  if (vm.Record.Phase != model::VmPhase::Active || vm.Record.Leaving ||
      vm.Record.MovedAt != 0)
    return false;
  const bool may_probe =
      request.Idempotent && now >= vm.NextProbeAt && vm.Runs == 0;
  return (!vm.Ejected || may_probe) && isReportedReady(vm, now);
}

Size PoolScheduler::freeCapacity(const VmState &vm) const {
  Size free = vm.Record.Capacity - vm.Used;
  free.Slots -= int64_t(vm.Orphans.size());
  return free;
}

int64_t PoolScheduler::freeSlots(TimeMs now) const {
  int64_t slots = 0;
  for (const auto &[id, vm] : Vms)
    if (canAccept(vm, GrantRequest{}, now))
      slots += std::max<int64_t>(0, freeCapacity(vm).Slots);
  return slots;
}

void PoolScheduler::report(const model::Announcement &announcement,
                           TimeMs now) {
  const auto it = Vms.find(announcement.Vm);
  if (it == Vms.end())
    return;
  VmState &vm = it->second;
  vm.LastReport = announcement;
  vm.HasReport = true;
  vm.ReportedAt = now;
  recountOrphans();
}

void PoolScheduler::recountOrphans() {
  for (auto &[id, team] : Teams)
    team.Orphans = 0;
  for (auto &[id, vm] : Vms) {
    vm.Orphans.clear();
    for (const auto &request : vm.LastReport.Running) {
      if (Runs.contains(request.Id) || ReleasedIds.contains(request.Id))
        continue;
      vm.Orphans.push_back(request);
      ++Teams[request.Team].Orphans;
    }
  }
}

void PoolScheduler::recordOutcome(VmState &vm, bool success, TimeMs now) {
  vm.Outcomes = vm.Outcomes.withOutcome(now, success);
  if (!success)
    reinstateIfPoolFails(now);
  if (!vm.Ejected) {
    if (!success)
      ejectIfFailing(vm, now);
    return;
  }
  if (success) {
    vm.Ejected = false;
    vm.BackoffExponent = 0;
    vm.Outcomes = {};
    Log("vm " + vm.Record.Id.str() + " reinstated: its probe succeeded");
    return;
  }
  const DurationMs wait =
      Options.InitialEjection * (int64_t{1} << vm.BackoffExponent);
  vm.NextProbeAt = now + std::min(wait, Options.MaxEjection);
  vm.BackoffExponent = std::min<int64_t>(vm.BackoffExponent + 1, 10);
}

policy::EjectionStats PoolScheduler::ejectionStats(const VmState &vm,
                                                   TimeMs now) const {
  policy::EjectionStats stats;
  stats.PoolSize = int64_t(Vms.size());
  stats.Runs = vm.Outcomes.count(now);
  stats.Failures = vm.Outcomes.failures(now);
  for (const auto &[id, other] : Vms) {
    stats.AlreadyEjected += other.Ejected ? 1 : 0;
    if (id == vm.Record.Id)
      continue;
    stats.OtherRuns += other.Outcomes.count(now);
    stats.OtherFailures += other.Outcomes.failures(now);
  }
  return stats;
}

void PoolScheduler::reinstateIfPoolFails(TimeMs now) {
  for (auto &[id, vm] : Vms) {
    if (!vm.Ejected || !policy::restOfPoolFails(ejectionStats(vm, now)))
      continue;
    vm.Ejected = false;
    vm.BackoffExponent = 0;
    Log("vm " + id.str() + " reinstated: the rest of the pool is failing too");
  }
}

void PoolScheduler::ejectIfFailing(VmState &vm, TimeMs now) {
  const auto stats = ejectionStats(vm, now);
  if (!policy::mustEject(stats))
    return;
  vm.Ejected = true;
  vm.BackoffExponent = 1;
  vm.NextProbeAt = now + Options.InitialEjection;
  Log("vm " + vm.Record.Id.str() +
      " ejected: " + std::to_string(stats.Failures) + " of " +
      std::to_string(stats.Runs) + " recent runs failed");
}

std::vector<model::VmStatus> PoolScheduler::vmStatuses(TimeMs now) const {
  std::vector<model::VmStatus> out;
  for (const auto &[id, vm] : Vms)
    if (vm.HasReport && vm.ReportedAt >= TakenOverAt)
      out.push_back(
          {id, vm.Runs + int64_t(vm.Orphans.size()), isHealthy(vm, now)});
  return out;
}

} // namespace almondgate::placer
