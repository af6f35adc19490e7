#include "almondgate/policy/vm_choice.hpp"

namespace almondgate::policy {

std::optional<core::VmId> leastLoaded(const std::vector<VmLoad> &vms,
                                      const core::Size &need) {
  const VmLoad *best = nullptr;
  double least = 0;
  for (const auto &vm : vms) {
    if (!core::fits(need, vm.Free))
      continue;
    const core::Size used = vm.Capacity - vm.Free + need;
    const double load = core::dominantFraction(used, vm.Capacity);
    const bool better = !best || load < least ||
                        (load == least && vm.RecentRuns < best->RecentRuns);
    if (!better)
      continue;
    best = &vm;
    least = load;
  }
  if (!best)
    return std::nullopt;
  return best->Vm;
}

} // namespace almondgate::policy
