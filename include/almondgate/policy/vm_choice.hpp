#ifndef ALMONDGATE_POLICY_VM_CHOICE_HPP
#define ALMONDGATE_POLICY_VM_CHOICE_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace almondgate::policy {

/// A VM that may run a request, with its capacity and free resources.
struct VmLoad {
  core::VmId Vm;
  core::Size Capacity;
  core::Size Free;
  /// Number of requests that ended on it recently.
  int64_t RecentRuns = 0;

  bool operator==(const VmLoad &) const = default;
};

/// Chooses a VM for a request, or none if the request currently fits nowhere.
using VmChoice = std::function<std::optional<core::VmId>(
    const std::vector<VmLoad> &, const core::Size &need)>;

/// Chooses the VM whose dominant fraction in use is the smallest with the
/// request on it. Ties go to the VM with the fewest recent runs.
std::optional<core::VmId> leastLoaded(const std::vector<VmLoad> &vms,
                                      const core::Size &need);

} // namespace almondgate::policy

#endif
