#include "almondgate/dispatch/vm_order_sender.hpp"

namespace almondgate::dispatch {

using core::DurationMs;
using core::VmId;

namespace {

// Added to the lease between two leaders' orders, for the calls' own time.
constexpr DurationMs HandoverMargin{200};
// Lapses are recorded together: each record costs every member a write.
constexpr DurationMs SettleInterval{1000};

} // namespace

VmOrderSender::VmOrderSender(DurationMs lease, VmOrderSenderHooks hooks,
                             const jobs::Ledger &ledger)
    : Quiet(lease + HandoverMargin), Hooks(std::move(hooks)), Ledger(ledger) {}

void VmOrderSender::begin() {
  end();
  Active = true;
  SettleDue = Hooks.Now() + SettleInterval;
  for (const auto &vm : Ledger.VmsOrdered)
    Held[vm] = Hooks.Now() + Quiet;
  if (!Held.empty())
    Hooks.Log(std::to_string(Held.size()) +
              " VMs had orders of an earlier leader and wait " +
              std::to_string(Quiet.Count) + " ms");
}

void VmOrderSender::end() {
  Active = false;
  ++Generation;
  Held.clear();
  LastUse.clear();
  Lapsing.clear();
}

bool VmOrderSender::mayOrder(const VmId &vm) const {
  const auto it = Held.find(vm);
  return it == Held.end() || Hooks.Now() >= it->second;
}

// A lapse that is on its way to the ledger counts as there.
bool VmOrderSender::isRecorded(const VmId &vm) const {
  return Ledger.VmsOrdered.contains(vm) && !Lapsing.contains(vm);
}

void VmOrderSender::order(const VmOrder &order, const OnResult &done) {
  LastUse[order.Vm] = Hooks.Now();
  if (isRecorded(order.Vm)) {
    send(order, done);
    return;
  }
  Hooks.Record({jobs::VmOrdered{order.Vm}},
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
  // A leader that was frozen meanwhile learns that its record is durable from
  // the one that took its place.
  if (!Hooks.MayAct()) {
    Hooks.Log("vm " + order.Vm.str() + " is not ordered: another may lead");
    done(VmOrderResult::NoAnswer);
    return;
  }
  // What was true when the order was decided may have changed since.
  if (!Hooks.WithinBudget(order)) {
    Hooks.Log("vm " + order.Vm.str() + " is not ordered: its work must stay");
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
  if (!Active || now < SettleDue)
    return;
  SettleDue = now + SettleInterval;
  std::vector<VmId> lapsed;
  for (const auto &vm : Ledger.VmsOrdered) {
    const auto used = LastUse.find(vm);
    const bool quiet = used == LastUse.end() || now - used->second >= Quiet;
    if (quiet && mayOrder(vm) && Lapsing.insert(vm).second)
      lapsed.push_back(vm);
  }
  if (lapsed.empty())
    return;
  Hooks.Record({jobs::VmOrdersLapsed{lapsed}},
               [this, lapsed, generation = Generation](bool) {
                 if (generation != Generation)
                   return;
                 for (const auto &vm : lapsed)
                   Lapsing.erase(vm);
               });
}

} // namespace almondgate::dispatch
