#include "almondgate/dispatch/vm_order_sender.hpp"

namespace almondgate::dispatch {

using core::DurationMs;
using core::VmId;

namespace {

// Added to the lease between orders of two leaders, because the calls
// themselves take time.
constexpr DurationMs HandoverMargin{200};
// Expiries are recorded in batches: each record costs every member a write.
constexpr DurationMs ExpiryInterval{1000};

} // namespace

VmOrderSender::VmOrderSender(DurationMs lease, VmOrderSenderHooks hooks,
                             const jobs::Ledger &ledger)
    : Lease(lease + HandoverMargin), Hooks(std::move(hooks)), Ledger(ledger) {}

void VmOrderSender::begin() {
  end();
  Active = true;
  ExpiryDue = Hooks.Now() + ExpiryInterval;
  for (const auto &vm : Ledger.VmsOrdered)
    OrderableAt[vm] = Hooks.Now() + Lease;
  InheritedMoves = Ledger.MoveTargets;
  if (!OrderableAt.empty())
    Hooks.Log(std::to_string(OrderableAt.size()) +
              " VMs have orders of an earlier leader; waiting " +
              std::to_string(Lease.Count) +
              " ms before sending orders for them");
}

void VmOrderSender::end() {
  Active = false;
  ++Generation;
  OrderableAt.clear();
  InheritedMoves.clear();
  LastUse.clear();
  Expiring.clear();
}

bool VmOrderSender::mayOrder(const VmId &vm) const {
  const auto it = OrderableAt.find(vm);
  return it == OrderableAt.end() || Hooks.Now() >= it->second;
}

bool VmOrderSender::mayBeMovedFrom(const VmId &vm,
                                   const core::PoolId &pool) const {
  const auto it = InheritedMoves.find(vm);
  return it != InheritedMoves.end() && it->second != pool && !mayOrder(vm);
}

std::vector<VmId> VmOrderSender::takeExpiredMoves() {
  std::vector<VmId> out;
  std::erase_if(InheritedMoves, [&](const auto &row) {
    const bool expired = mayOrder(row.first);
    if (expired)
      out.push_back(row.first);
    return expired;
  });
  return out;
}

// An expiry that is being recorded counts as recorded. A move to another pool
// than the recorded one is recorded anew.
bool VmOrderSender::hasRecordedLease(const VmOrder &order) const {
  const auto target = Ledger.MoveTargets.find(order.Vm);
  const bool same_target =
      order.To.empty() ||
      (target != Ledger.MoveTargets.end() && target->second == order.To);
  return Ledger.VmsOrdered.contains(order.Vm) && same_target &&
         !Expiring.contains(order.Vm);
}

void VmOrderSender::order(const VmOrder &order, const OnResult &done) {
  LastUse[order.Vm] = Hooks.Now();
  if (hasRecordedLease(order)) {
    send(order, done);
    return;
  }
  Hooks.Record({jobs::VmOrdered{order.Vm, order.To}},
               [this, order, done, generation = Generation](bool durable) {
                 if (generation != Generation)
                   return;
                 if (durable)
                   send(order, done);
                 else
                   done(VmOrderResult::NoAnswer);
               });
}

void VmOrderSender::send(const VmOrder &order, const OnResult &done) {
  // A leader that was suspended since then may learn only from its successor
  // that its record is durable.
  if (!Hooks.MayAct()) {
    Hooks.Log("order for vm " + order.Vm.str() +
              " not sent: another member may lead");
    done(VmOrderResult::NoAnswer);
    return;
  }
  // The state that the order was decided on may have changed since.
  if (!Hooks.WithinBudget(order)) {
    Hooks.Log("order for vm " + order.Vm.str() +
              " withheld: its runs may not be ended now, or its zone is under "
              "evacuation");
    done(VmOrderResult::Withheld);
    return;
  }
  Hooks.OrderVm(order, [this, done, vm = order.Vm,
                        generation = Generation](VmOrderResult result) {
    if (generation != Generation)
      return;
    LastUse[vm] = Hooks.Now();
    done(result);
  });
}

void VmOrderSender::recordExpiredLeases() {
  const auto now = Hooks.Now();
  if (!Active || now < ExpiryDue)
    return;
  ExpiryDue = now + ExpiryInterval;
  std::vector<VmId> expired;
  for (const auto &vm : Ledger.VmsOrdered) {
    const auto used = LastUse.find(vm);
    const bool lease_over =
        used == LastUse.end() || now - used->second >= Lease;
    if (lease_over && mayOrder(vm) && Expiring.insert(vm).second)
      expired.push_back(vm);
  }
  if (expired.empty())
    return;
  Hooks.Record({jobs::VmOrdersLapsed{expired}},
               [this, expired, generation = Generation](bool) {
                 if (generation != Generation)
                   return;
                 for (const auto &vm : expired)
                   Expiring.erase(vm);
               });
}

} // namespace almondgate::dispatch
