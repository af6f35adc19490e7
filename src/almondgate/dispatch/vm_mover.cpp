#include "almondgate/dispatch/vm_mover.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::PoolId;
using core::VmId;

namespace {

constexpr DurationMs OrderRetry{500};
constexpr DurationMs BusyPause{2000};
// A VM that does not serve by then is left to the next reading of the list.
constexpr DurationMs ArrivalPatience{2500};
constexpr DurationMs LongestEmptying{2500};
constexpr DurationMs ListLife{15000};
// VMs that were away when the list was read are back by then.
constexpr DurationMs AwayLife{2500};

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
  Spare = 0;
  SurplusSince.clear();
  NotBefore.clear();
}

int64_t VmMover::incoming(const PoolId &pool) const {
  return std::count_if(Moves.begin(), Moves.end(), [&](const auto &row) {
    return row.second.To == pool && !row.second.Given;
  });
}

bool VmMover::hasUnconfirmedMove(const VmId &vm, const PoolId &pool) const {
  const auto it = Moves.find(vm);
  return it != Moves.end() && !it->second.Accepted && !it->second.Given &&
         it->second.To != pool;
}

void VmMover::run(const std::vector<PoolDemand> &demands,
                  const std::set<PoolId> &spare_pools,
                  const std::set<VmId> &busy) {
  const auto now = Hooks.Now();
  if (!Active || demands.empty())
    return;
  if (!List.wasReadSince(now -
                         (List.hasVmsInTransition() ? AwayLife : ListLife)))
    List.refresh();
  if (!List.isLoaded())
    return;
  for (auto it = Moves.begin(); it != Moves.end();)
    it = follow(it->first, it->second, spare_pools) ? Moves.erase(it)
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
    if (!has_surplus)
      SurplusSince.erase(balance.Pool);
    else
      balance.Surplus =
          now - SurplusSince.try_emplace(balance.Pool, now).first->second;
    pools.push_back(balance);
  }
  Spare = 0;
  for (const auto &pool : spare_pools) {
    policy::PoolBalance balance;
    balance.Pool = pool;
    balance.Spare = true;
    balance.PerVm = per_vm;
    for (const auto &[id, vm] : List.vms()) {
      const auto wait = NotBefore.find(id);
      const bool ready = vm.Pool == pool && vm.State == VmState::Up &&
                         !Moves.contains(id) && !busy.contains(id) &&
                         Hooks.MayOrder(id) &&
                         (wait == NotBefore.end() || now >= wait->second);
      if (ready)
        movable[pool].push_back(id);
    }
    balance.Movable = int64_t(movable[pool].size());
    Spare += balance.Movable;
    pools.push_back(balance);
  }
  for (const auto &wish : Plan(pools, {})) {
    auto &from = movable[wish.From];
    if (from.empty() || Refused.contains({wish.From, wish.To}))
      continue;
    startMove(from.front(), wish.From, wish.To);
    Spare -= spare_pools.contains(wish.From) ? 1 : 0;
    from.erase(from.begin());
  }
}

void VmMover::startMove(const VmId &vm, const PoolId &from, const PoolId &to) {
  Move move;
  move.From = from;
  move.To = to;
  move.Since = Hooks.Now();
  Hooks.Reserve(vm, true);
  Moves.emplace(vm, move);
}

bool VmMover::follow(const VmId &vm, Move &move,
                     const std::set<PoolId> &spare_pools) {
  const auto now = Hooks.Now();
  if (move.Calling)
    return false;
  const VmLoad load = Hooks.LoadOf(vm);
  if (!move.Ordered) {
    if (load.ShortRuns > 0 && now - move.Since < LongestEmptying)
      return false;
    const bool empty = load.ShortRuns == 0 && load.LongRuns == 0;
    const bool off = load.Incarnation.Id.empty();
    if (!off && (!empty || !load.Reachable)) {
      Hooks.Reserve(vm, false);
      return true;
    }
    move.Ends = load.Incarnation;
    order(vm, move);
    return false;
  }
  if (!move.Accepted) {
    if (move.Given) {
      Hooks.Reserve(vm, false);
      return true;
    }
    // The answer got lost, and the VM is there.
    if (!load.Incarnation.Id.empty() && load.Pool == move.To) {
      List.recordMove(vm, move.To);
      return true;
    }
    if (now - move.Since >= OrderRetry) {
      move.Ends = load.Incarnation;
      order(vm, move);
    }
    return false;
  }
  const bool serves =
      !load.Incarnation.Id.empty() && load.Incarnation != move.Ends;
  if (serves)
    return true;
  const DurationMs patience = Options.MoveDuration + ArrivalPatience;
  const bool parked =
      spare_pools.contains(move.To) && now - move.Since >= Options.MoveDuration;
  if (parked)
    List.recordParked(vm);
  return parked || now - move.Since >= patience;
}

void VmMover::order(const VmId &vm, Move &move) {
  move.Ordered = true;
  move.Calling = true;
  move.Since = Hooks.Now();
  Hooks.Log("vm " + vm.str() + " is ordered from pool " + move.From.str() +
            " to " + move.To.str());
  VmOrder order;
  order.Vm = vm;
  order.To = move.To;
  order.Holder = Options.Holder;
  order.Epoch = Epoch;
  Hooks.OrderVm(order, [this, vm, generation = Generation](auto result) {
    if (generation == Generation)
      onOrdered(vm, result);
  });
}

void VmMover::onOrdered(const VmId &vm, VmOrderResult result) {
  Move &move = Moves.at(vm);
  move.Calling = false;
  switch (result) {
  case VmOrderResult::Accepted:
    move.Accepted = true;
    move.Since = Hooks.Now();
    List.recordMove(vm, move.To);
    if (!move.Ends.Id.empty())
      Hooks.Record({jobs::EndpointGone{move.Ends.Id, move.Ends.BornMs}},
                   [](bool) {});
    return;
  case VmOrderResult::Refused:
    Refused.emplace(move.From, move.To);
    [[fallthrough]];
  case VmOrderResult::Busy:
    Hooks.Log("vm " + vm.str() + " can't be moved now");
    NotBefore[vm] = Hooks.Now() + BusyPause;
    // Given up: the VM stays where it is.
    move.Given = true;
    List.refresh();
    return;
  case VmOrderResult::Withheld:
    // What was sent before may still be carried out: the VM stays reserved.
    move.Given = !move.Unclear;
    return;
  case VmOrderResult::Fenced:
  case VmOrderResult::Throttled:
  case VmOrderResult::NoAnswer:
    move.Unclear = move.Unclear || result == VmOrderResult::NoAnswer;
    Hooks.Log("the move of vm " + vm.str() + " has no clear answer yet");
    return;
  }
}

} // namespace almondgate::dispatch
