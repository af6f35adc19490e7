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

/// What VmOrderSender requires of its owner.
struct VmOrderSenderHooks {
  core::Clock Now;
  /// False once another member may lead.
  std::function<bool()> MayAct;
  /// False while the order would end more than an availability budget allows.
  std::function<bool(const VmOrder &)> WithinBudget;
  /// Makes events durable in order; the callback gets false if it is not known
  /// whether they are.
  std::function<void(std::vector<jobs::Event>, std::function<void(bool)>)>
      Record;
  std::function<void(const VmOrder &, std::function<void(VmOrderResult)>)>
      OrderVm;
  observe::LogLine Log;
};

/// Sends orders for VMs to the VM service such that two leaders never send
/// orders for the same VM within the order lease. The set of VMs with an order
/// within the lease is durable, so that a new leader waits only for these VMs
/// and sends orders for the others at once.
class VmOrderSender {
public:
  using OnResult = std::function<void(VmOrderResult)>;

  VmOrderSender(core::DurationMs lease, VmOrderSenderHooks hooks,
                const jobs::Ledger &ledger);

  /// Starts sending orders; called when the member becomes leader.
  void begin();
  void end();

  /// False while an earlier leader's order for the VM may be within its lease.
  bool mayOrder(const core::VmId &vm) const;

  /// Sends an order once it is durable that the VM has one. `done` gets
  /// NoAnswer if that is not known or another member may lead by then, and
  /// Withheld if a budget no longer allows the order; in neither case has it
  /// been sent.
  void order(const VmOrder &order, const OnResult &done);

  /// An earlier leader's order, not known to have been carried out, may still
  /// move the VM away from `pool`.
  bool mayBeMovedFrom(const core::VmId &vm, const core::PoolId &pool) const;

  /// Returns, once each, the VMs for which mayBeMovedFrom() no longer holds
  /// because this leader may send orders for them.
  std::vector<core::VmId> takeExpiredMoves();

  /// Records which VMs no longer have an order within the lease.
  void recordExpiredLeases();

private:
  void send(const VmOrder &order, const OnResult &done);
  bool hasRecordedLease(const VmOrder &order) const;

  /// The order lease with a margin.
  const core::DurationMs Lease;
  const VmOrderSenderHooks Hooks;
  const jobs::Ledger &Ledger;
  bool Active = false;
  uint64_t Generation = 0;
  core::TimeMs ExpiryDue;
  /// VMs for which an earlier leader sent orders, and when this leader may send
  /// one.
  std::map<core::VmId, core::TimeMs> OrderableAt;
  /// Where earlier leaders moved VMs to, by the same orders.
  std::map<core::VmId, core::PoolId> InheritedMoves;
  /// When this leader last sent an order or got an answer.
  std::map<core::VmId, core::TimeMs> LastUse;
  /// VMs whose lease expiry is being recorded.
  std::set<core::VmId> Expiring;
};

} // namespace almondgate::dispatch

#endif
