#ifndef ALMONDGATE_DISPATCH_VM_ORDER_SENDER_HPP
#define ALMONDGATE_DISPATCH_VM_ORDER_SENDER_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/dispatch/vm_listing.hpp"
#include "almondgate/jobs/ledger.hpp"
#include "almondgate/observe/log.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace almondgate::dispatch {

/// What the order book asks of the world around it.
struct VmOrderSenderHooks {
  core::Clock Now;
  /// False once another member may lead.
  std::function<bool()> MayAct;
  /// False while the order would end more than an availability budget allows.
  std::function<bool(const VmOrder &)> WithinBudget;
  std::function<void(std::vector<jobs::Event>, std::function<void(bool)>)>
      Record;
  std::function<void(const VmOrder &, std::function<void(VmOrderResult)>)>
      OrderVm;
  observe::LogLine Log;
};

/// Passes orders for VMs to the VM service such that two leaders never order
/// for one VM within the order lease. Which VMs have an order within it is
/// durable, so that a new leader waits for just these and orders the others at
/// once.
class VmOrderSender {
public:
  using OnResult = std::function<void(VmOrderResult)>;

  VmOrderSender(core::DurationMs lease, VmOrderSenderHooks hooks,
                const jobs::Ledger &ledger);

  /// The member leads from now on.
  void begin();
  void end();

  /// False while an earlier leader's order for the VM may still be within its
  /// lease.
  bool mayOrder(const core::VmId &vm) const;

  /// Sends an order once it is durable that the VM has one. `done` gets
  /// NoAnswer where that is not known or another member may lead by then, and
  /// Withheld where a budget no longer allows it; neither was sent.
  void order(const VmOrder &order, const OnResult &done);

  /// Records which VMs have no order within the lease any more.
  void recordExpiredLeases();

private:
  void send(const VmOrder &order, const OnResult &done);
  bool isRecorded(const core::VmId &vm) const;

  const core::DurationMs Quiet;
  const VmOrderSenderHooks Hooks;
  const jobs::Ledger &Ledger;
  bool Active = false;
  uint64_t Generation = 0;
  core::TimeMs SettleDue;
  /// VMs that an earlier leader ordered for, and until when they wait.
  std::map<core::VmId, core::TimeMs> Held;
  /// When this leader last sent an order or got an answer.
  std::map<core::VmId, core::TimeMs> LastUse;
  /// VMs whose lapse is being recorded.
  std::set<core::VmId> Lapsing;
};

} // namespace almondgate::dispatch

#endif
