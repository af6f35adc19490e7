#ifndef ALMONDGATE_DISPATCH_VM_MOVER_HPP
#define ALMONDGATE_DISPATCH_VM_MOVER_HPP

#include "almondgate/dispatch/dispatcher_options.hpp"
#include "almondgate/dispatch/vm_list_cache.hpp"
#include "almondgate/dispatch/vm_operation_hooks.hpp"
#include "almondgate/policy/vm_balance.hpp"

#include <map>
#include <set>

namespace almondgate::dispatch {

/// Demand and VMs of a pool that is not a spare pool.
struct PoolDemand {
  policy::PoolBalance Balance;
  /// VMs that may leave the pool, those with the fewest runs first.
  std::vector<core::VmId> Movable;

  bool operator==(const PoolDemand &) const = default;
};

/// Moves VMs between pools: drains a VM, orders its move, and tracks it until
/// it serves its new pool.
class VmMover {
public:
  using PlanMoves = std::function<std::vector<policy::PlannedMove>(
      std::vector<policy::PoolBalance>, const policy::MoveOptions &)>;

  VmMover(DispatcherOptions options, VmOperationHooks hooks, VmListCache &list,
          PlanMoves plan);

  /// Starts moving VMs; called when the member becomes leader.
  void begin(uint64_t epoch);
  void end();

  /// Advances the moves under way and starts those that the demands call for.
  /// VMs in `busy` are in use for another operation and are not moved.
  void run(const std::vector<PoolDemand> &demands,
           const std::set<core::PoolId> &spare_pools,
           const std::set<core::VmId> &busy);

  /// The number of VMs on their way to a pool.
  int64_t incoming(const core::PoolId &pool) const;

  /// The number of VMs in spare pools that could still be moved at the last
  /// run().
  int64_t spare() const { return SpareVms; }

  bool isMoving(const core::VmId &vm) const { return Moves.contains(vm); }

  /// A move of the VM out of `pool` is under way and not confirmed: it may
  /// still be carried out.
  bool hasUnconfirmedMove(const core::VmId &vm, const core::PoolId &pool) const;

private:
  struct Move {
    core::PoolId From;
    core::PoolId To;
    /// The endpoint's incarnation when the last order was sent.
    jobs::EndpointIncarnation AtLastOrder;
    /// When the VM was reserved, last ordered, or its order was accepted.
    core::TimeMs Since;
    bool Ordered = false;
    bool CallPending = false;
    bool Accepted = false;
    /// The VM stays in its pool.
    bool Abandoned = false;
    /// An order was sent, and its outcome is not known.
    bool OutcomeUnknown = false;
  };

  /// Since when a pool has had more VMs than it needs.
  struct Surplus {
    core::TimeMs Since;
    /// Whether its demand has been known during this time.
    bool DemandKnown = false;
  };

  core::DurationMs surplusTime(const policy::PoolBalance &balance,
                               bool has_surplus);
  void startMove(const core::VmId &vm, const core::PoolId &from,
                 const core::PoolId &to);
  /// Returns true once the move is over, whether or not the VM was moved.
  bool advanceMove(const core::VmId &vm, Move &move,
                   const std::set<core::PoolId> &spare_pools);
  void sendOrder(const core::VmId &vm, Move &move);
  void onOrderResult(const core::VmId &vm, VmOrderResult result);

  const DispatcherOptions Options;
  const VmOperationHooks Hooks;
  VmListCache &List;
  const PlanMoves Plan;
  bool Active = false;
  uint64_t Epoch = 0;
  uint64_t Generation = 0;
  std::map<core::VmId, Move> Moves;
  int64_t SpareVms = 0;
  std::map<core::PoolId, Surplus> Surpluses;
  /// After a failed order, when the VM may next leave a spare pool.
  std::map<core::VmId, core::TimeMs> NotBefore;
  /// Moves that the VM service refuses: the source and the target pool.
  std::set<std::pair<core::PoolId, core::PoolId>> RefusedMoves;
};

} // namespace almondgate::dispatch

#endif
