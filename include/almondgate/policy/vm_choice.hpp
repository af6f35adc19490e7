#ifndef ALMONDGATE_POLICY_VM_CHOICE_HPP
#define ALMONDGATE_POLICY_VM_CHOICE_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace almondgate::policy {

/// A VM that may take work, with what it has left.
struct VmLoad {
  core::VmId Vm;
  core::Size Capacity;
  core::Size Free;
  /// Requests that ended on it lately.
  int64_t RecentRuns = 0;

  bool operator==(const VmLoad &) const = default;
};

/// Chooses a VM for a request, or none where it fits nowhere now.
using VmChoice = std::function<std::optional<core::VmId>(
    const std::vector<VmLoad> &, const core::Size &need)>;

/// The VM on which the request leaves the smallest dominant fraction in use;
/// of equals the one with the fewest recent runs.
std::optional<core::VmId> leastLoaded(const std::vector<VmLoad> &vms,
                                      const core::Size &need);

} // namespace almondgate::policy

#endif
