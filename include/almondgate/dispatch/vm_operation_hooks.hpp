#ifndef ALMONDGATE_DISPATCH_VM_OPERATION_HOOKS_HPP
#define ALMONDGATE_DISPATCH_VM_OPERATION_HOOKS_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/dispatch/vm_listing.hpp"
#include "almondgate/jobs/event.hpp"
#include "almondgate/observe/log.hpp"

#include <functional>
#include <vector>

namespace almondgate::dispatch {

/// What a VM's endpoint does, as the upkeep sees it.
struct VmLoad {
  /// Empty where no endpoint of the VM is known.
  jobs::EndpointIncarnation Incarnation;
  core::PoolId Pool;
  /// Runs that would be lost.
  int64_t ShortRuns = 0;
  int64_t LongRuns = 0;
  /// Taking the VM down keeps every availability budget.
  bool WithinBudget = true;
  bool Reachable = true;

  bool operator==(const VmLoad &) const = default;
};

/// What the upkeep asks of the world around it.
struct VmOperationHooks {
  core::Clock Now;
  std::function<int64_t()> WallClock;
  std::function<VmLoad(const core::VmId &)> LoadOf;
  /// Whether new work may go to the VM.
  std::function<void(const core::VmId &, bool reserved)> Reserve;
  /// Moves long-running work off the VM, as far as the budgets allow now.
  std::function<void(const core::VmId &)> Evacuate;
  /// Whether all that runs on the VM may end at any time; it then counts as
  /// missing.
  std::function<void(const core::VmId &, bool terminating)> SetTerminating;
  std::function<void(std::vector<jobs::Event>, std::function<void(bool)>)>
      Record;
  std::function<void(const VmOrder &, std::function<void(VmOrderResult)>)>
      OrderVm;
  /// False while an earlier leader's order for the VM may hold.
  std::function<bool(const core::VmId &)> MayOrder;
  observe::LogLine Log;
};

} // namespace almondgate::dispatch

#endif
