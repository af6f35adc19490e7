#ifndef ALMONDGATE_DISPATCH_VM_OPERATION_HOOKS_HPP
#define ALMONDGATE_DISPATCH_VM_OPERATION_HOOKS_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/dispatch/vm_listing.hpp"
#include "almondgate/jobs/event.hpp"
#include "almondgate/observe/log.hpp"

#include <functional>
#include <vector>

namespace almondgate::dispatch {

/// What a VM's endpoint runs, as maintenance and moves need to know it.
struct VmLoad {
  /// Empty if no endpoint of the VM is known.
  jobs::EndpointIncarnation Incarnation;
  core::PoolId Pool;
  /// Runs that are lost if the VM is taken down.
  int64_t ShortRuns = 0;
  int64_t LongRuns = 0;
  /// Taking the VM down keeps every availability budget.
  bool WithinBudget = true;
  /// Which runs the endpoint has is known.
  bool Reachable = true;

  bool operator==(const VmLoad &) const = default;
};

/// What MaintenanceScheduler and VmMover require of their owner.
struct VmOperationHooks {
  core::Clock Now;
  /// Milliseconds since 1970.
  std::function<int64_t()> WallClock;
  std::function<VmLoad(const core::VmId &)> LoadOf;
  /// No new work is placed on a reserved VM.
  std::function<void(const core::VmId &, bool reserved)> Reserve;
  /// Moves long-running work off the VM, as far as the availability budgets
  /// allow now.
  std::function<void(const core::VmId &)> Evacuate;
  /// Sets whether all runs on the VM may end at any time. While they may, the
  /// availability budgets count them as missing.
  std::function<void(const core::VmId &, bool terminating)> SetTerminating;
  /// Makes events durable in order; the callback gets false if it is not known
  /// whether they are.
  std::function<void(std::vector<jobs::Event>, std::function<void(bool)>)>
      Record;
  /// Records that an order has ended the incarnation, with its VM.
  std::function<void(const jobs::EndpointIncarnation &)> RecordEnded;
  std::function<void(const VmOrder &, std::function<void(VmOrderResult)>)>
      OrderVm;
  /// False while an earlier leader's order for the VM may be within its lease.
  std::function<bool(const core::VmId &)> MayOrder;
  /// The VM is in a zone under evacuation; optional.
  std::function<bool(const core::VmId &)> IsEvacuated = [](const core::VmId &) {
    return false;
  };
  observe::LogLine Log;
};

} // namespace almondgate::dispatch

#endif
