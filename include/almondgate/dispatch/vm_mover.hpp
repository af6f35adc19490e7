#ifndef ALMONDGATE_DISPATCH_VM_MOVER_HPP
#define ALMONDGATE_DISPATCH_VM_MOVER_HPP

#include "almondgate/dispatch/dispatcher_options.hpp"
#include "almondgate/dispatch/vm_list_cache.hpp"
#include "almondgate/dispatch/vm_operation_hooks.hpp"
#include "almondgate/policy/vm_balance.hpp"

#include <map>
#include <set>

namespace almondgate::dispatch {

/// A working pool's demand and VMs, as the mover sees them.
struct PoolDemand {
  policy::PoolBalance Balance;
  /// VMs that may leave, emptiest first.
  std::vector<core::VmId> Movable;

  bool operator==(const PoolDemand &) const = default;
};

/// Moves VMs between pools: empties a VM, orders its move, and follows it until
/// it serves its new pool.
class VmMover {
public:
  using PlanMoves = std::function<std::vector<policy::PlannedMove>(
      std::vector<policy::PoolBalance>, const policy::MoveOptions &)>;

  VmMover(DispatcherOptions options, VmOperationHooks hooks, VmListCache &list,
          PlanMoves plan);

  void begin(uint64_t epoch);
  void end();

  /// Takes the next steps for the demands; `busy` are VMs that others use.
  void run(const std::vector<PoolDemand> &demands,
           const std::set<core::PoolId> &spare_pools,
           const std::set<core::VmId> &busy);

  /// VMs on their way to a pool.
  int64_t incoming(const core::PoolId &pool) const;

  /// VMs in spare pools that could be sent for at the last run().
  int64_t spare() const { return Spare; }

  bool isMoving(const core::VmId &vm) const { return Moves.contains(vm); }

  /// A move of the VM out of `pool` is under way and may still be carried out.
  bool hasUnconfirmedMove(const core::VmId &vm, const core::PoolId &pool) const;

private:
  struct Move {
    core::PoolId From;
    core::PoolId To;
    jobs::EndpointIncarnation Ends;
    core::TimeMs Since;
    bool Ordered = false;
    bool Calling = false;
    bool Accepted = false;
    bool Given = false;
    /// An order was sent, and its outcome is not known.
    bool Unclear = false;
  };

  void startMove(const core::VmId &vm, const core::PoolId &from,
                 const core::PoolId &to);
  /// True once the move is over, one way or the other.
  bool follow(const core::VmId &vm, Move &move,
              const std::set<core::PoolId> &spare_pools);
  void order(const core::VmId &vm, Move &move);
  void onOrdered(const core::VmId &vm, VmOrderResult result);

  const DispatcherOptions Options;
  const VmOperationHooks Hooks;
  VmListCache &List;
  const PlanMoves Plan;
  bool Active = false;
  uint64_t Epoch = 0;
  uint64_t Generation = 0;
  std::map<core::VmId, Move> Moves;
  int64_t Spare = 0;
  std::map<core::PoolId, core::TimeMs> SurplusSince;
  std::map<core::VmId, core::TimeMs> NotBefore;
  /// Pools that VMs of another pool may not join.
  std::set<std::pair<core::PoolId, core::PoolId>> Refused;
};

} // namespace almondgate::dispatch

#endif
