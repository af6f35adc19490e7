#include "almondgate/dispatch/vm_mover.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::PoolId;
using core::VmId;

namespace {

constexpr DurationMs OrderRetryInterval{500};
constexpr DurationMs BusyRetryDelay{2000};
// A VM that does not serve this long after the expected end of its move is no
// longer tracked: the next read of the VM list shows where it is.
constexpr DurationMs ArrivalGrace{2500};
// A VM whose short runs have not ended after this time is not moved.
constexpr DurationMs MaxDrainTime{2500};
constexpr DurationMs MaxListAge{15000};
// VMs that were in transition when the list was read are back by then.
constexpr DurationMs MaxListAgeInTransition{2500};

} // namespace

VmMover::VmMover(DispatcherOptions options, VmOperationHooks hooks,
                 VmListCache &list, PlanMoves plan)
    : Options(std::move(options)), Hooks(std::move(hooks)), List(list),
      Plan(std::move(plan)) {}

void VmMover::begin(uint64_t epoch) {
  end();
  Active = true;
  Epoch = epoch;
}

void VmMover::end() {
  Active = false;
  ++Generation;
  Moves.clear();
  SpareVms = 0;
  Surpluses.clear();
  NotBefore.clear();
}

int64_t VmMover::incoming(const PoolId &pool) const {
  return std::count_if(Moves.begin(), Moves.end(), [&](const auto &row) {
    return row.second.To == pool && !row.second.Abandoned &&
           !Hooks.IsEvacuated(row.first);
  });
}

bool VmMover::hasUnconfirmedMove(const VmId &vm, const PoolId &pool) const {
  const auto it = Moves.find(vm);
  return it != Moves.end() && !it->second.Accepted && !it->second.Abandoned &&
         it->second.To != pool;
}

void VmMover::run(const std::vector<PoolDemand> &demands,
                  const std::set<PoolId> &spare_pools,
                  const std::set<VmId> &busy) {
  const auto now = Hooks.Now();
  if (!Active || demands.empty())
    return;
  if (!List.wasReadSince(now - (List.hasVmsInTransition()
                                    ? MaxListAgeInTransition
                                    : MaxListAge)))
    List.refresh();
  if (!List.isLoaded())
    return;
  for (auto it = Moves.begin(); it != Moves.end();)
    it = advanceMove(it->first, it->second, spare_pools) ? Moves.erase(it)
                                                         : std::next(it);
  std::vector<policy::PoolBalance> pools;
  std::map<PoolId, std::vector<VmId>> movable;
  int64_t per_vm = 0;
  for (const auto &demand : demands) {
    auto balance = demand.Balance;
    auto &vms = movable[balance.Pool];
    for (const auto &vm : demand.Movable)
      if (!busy.contains(vm) && !Moves.contains(vm) && Hooks.MayOrder(vm))
        vms.push_back(vm);
    balance.Movable = int64_t(vms.size());
    balance.Incoming = incoming(balance.Pool) * balance.PerVm;
    per_vm = std::max(per_vm, balance.PerVm);
    const bool has_surplus =
        balance.Usable - balance.Wanted > balance.PerVm && balance.PerVm > 0;
    balance.Surplus = surplusTime(balance, has_surplus);
    pools.push_back(balance);
  }
  SpareVms = 0;
  for (const auto &pool : spare_pools) {
    policy::PoolBalance balance;
    balance.Pool = pool;
    balance.Spare = true;
    balance.PerVm = per_vm;
    for (const auto &[id, vm] : List.vms()) {
      const auto wait = NotBefore.find(id);
      const bool ready = vm.Pool == pool && vm.State == VmState::Up &&
                         !Moves.contains(id) && !busy.contains(id) &&
                         Hooks.MayOrder(id) && !Hooks.IsEvacuated(id) &&
                         (wait == NotBefore.end() || now >= wait->second);
      if (ready)
        movable[pool].push_back(id);
    }
    balance.Movable = int64_t(movable[pool].size());
    SpareVms += balance.Movable;
    pools.push_back(balance);
  }
  for (const auto &planned : Plan(pools, {})) {
    auto &from = movable[planned.From];
    if (from.empty() || RefusedMoves.contains({planned.From, planned.To}))
      continue;
    startMove(from.front(), planned.From, planned.To);
    SpareVms -= spare_pools.contains(planned.From) ? 1 : 0;
    from.erase(from.begin());
  }
}

// Returns how long the pool has had a surplus. The time starts anew when the
// demand becomes known: otherwise the first job of a pool would have its VMs
// parked just before more work arrives.
DurationMs VmMover::surplusTime(const policy::PoolBalance &balance,
                                bool has_surplus) {
  if (!has_surplus) {
    Surpluses.erase(balance.Pool);
    return {};
  }
  const Surplus begun{Hooks.Now(), balance.DemandKnown};
  Surplus &surplus = Surpluses.try_emplace(balance.Pool, begun).first->second;
  if (surplus.DemandKnown != balance.DemandKnown)
    surplus = begun;
  return Hooks.Now() - surplus.Since;
}

void VmMover::startMove(const VmId &vm, const PoolId &from, const PoolId &to) {
  Move move;
  move.From = from;
  move.To = to;
  move.Since = Hooks.Now();
  Hooks.Reserve(vm, true);
  Moves.emplace(vm, move);
}

bool VmMover::advanceMove(const VmId &vm, Move &move,
                          const std::set<PoolId> &spare_pools) {
  const auto now = Hooks.Now();
  if (move.CallPending)
    return false;
  const VmLoad load = Hooks.LoadOf(vm);
  // A VM of a zone under evacuation is brought into no pool.
  const bool barred = !spare_pools.contains(move.To) && Hooks.IsEvacuated(vm);
  if (!move.Ordered) {
    if (barred) {
      Hooks.Reserve(vm, false);
      return true;
    }
    if (load.ShortRuns > 0 && now - move.Since < MaxDrainTime)
      return false;
    const bool empty = load.ShortRuns == 0 && load.LongRuns == 0;
    const bool off = load.Incarnation.Id.empty();
    if (!off && (!empty || !load.Reachable)) {
      Hooks.Reserve(vm, false);
      return true;
    }
    move.AtLastOrder = load.Incarnation;
    sendOrder(vm, move);
    return false;
  }
  if (!move.Accepted) {
    // An order of unknown outcome may be carried out during its lease.
    if (barred &&
        (!move.OutcomeUnknown || now - move.Since >= Options.VmOrderLease))
      move.Abandoned = true;
    if (move.Abandoned) {
      Hooks.Reserve(vm, false);
      return true;
    }
    // The answer was lost, and the VM has arrived.
    if (!load.Incarnation.Id.empty() && load.Pool == move.To) {
      List.recordMove(vm, move.To);
      return true;
    }
    if (!barred && now - move.Since >= OrderRetryInterval) {
      move.AtLastOrder = load.Incarnation;
      sendOrder(vm, move);
    }
    return false;
  }
  const bool serves =
      !load.Incarnation.Id.empty() && load.Incarnation != move.AtLastOrder;
  if (serves)
    return true;
  const DurationMs timeout = Options.MoveDuration + ArrivalGrace;
  const bool parked =
      spare_pools.contains(move.To) && now - move.Since >= Options.MoveDuration;
  if (parked)
    List.recordParked(vm);
  return parked || now - move.Since >= timeout;
}

void VmMover::sendOrder(const VmId &vm, Move &move) {
  move.Ordered = true;
  move.CallPending = true;
  move.Since = Hooks.Now();
  Hooks.Log("move of vm " + vm.str() + " from pool " + move.From.str() +
            " to " + move.To.str() + " ordered");
  VmOrder order;
  order.Vm = vm;
  order.To = move.To;
  order.Holder = Options.Holder;
  order.Epoch = Epoch;
  Hooks.OrderVm(order, [this, vm, generation = Generation](auto result) {
    if (generation == Generation)
      onOrderResult(vm, result);
  });
}

void VmMover::onOrderResult(const VmId &vm, VmOrderResult result) {
  Move &move = Moves.at(vm);
  move.CallPending = false;
  switch (result) {
  case VmOrderResult::Accepted:
    move.Accepted = true;
    move.Since = Hooks.Now();
    List.recordMove(vm, move.To);
    if (!move.AtLastOrder.Id.empty())
      Hooks.RecordEnded(move.AtLastOrder);
    return;
  case VmOrderResult::Refused:
    RefusedMoves.emplace(move.From, move.To);
    [[fallthrough]];
  case VmOrderResult::Busy:
    Hooks.Log("move of vm " + vm.str() + " from pool " + move.From.str() +
              " to " + move.To.str() +
              (result == VmOrderResult::Busy ? " rejected: the VM is busy"
                                             : " refused by the VM service"));
    NotBefore[vm] = Hooks.Now() + BusyRetryDelay;
    move.Abandoned = true;
    List.refresh();
    return;
  case VmOrderResult::Withheld:
    // An earlier order may still be carried out: then the VM stays reserved.
    move.Abandoned = !move.OutcomeUnknown;
    return;
  case VmOrderResult::Fenced:
  case VmOrderResult::Throttled:
  case VmOrderResult::NoAnswer:
    move.OutcomeUnknown =
        move.OutcomeUnknown || result == VmOrderResult::NoAnswer;
    Hooks.Log("move of vm " + vm.str() + " from pool " + move.From.str() +
              " to " + move.To.str() + " not confirmed (" +
              unconfirmedReason(result) + "); will retry");
    return;
  }
}

} // namespace almondgate::dispatch
