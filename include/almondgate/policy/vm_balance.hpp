#ifndef ALMONDGATE_POLICY_VM_BALANCE_HPP
#define ALMONDGATE_POLICY_VM_BALANCE_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/id.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::policy {

/// Capacity and demand of a pool. Capacities are in millicores for work that is
/// not long-running.
struct PoolBalance {
  core::PoolId Pool;
  /// The VMs of the pool are powered off: they run no work and cost nothing.
  bool Spare = false;
  /// Capacity of the VMs that serve the pool.
  int64_t Usable = 0;
  /// Capacity of VMs that are moving to the pool.
  int64_t Incoming = 0;
  /// Demand for capacity, and the part of it that comes from jobs that have
  /// missed their due time.
  int64_t Wanted = 0;
  int64_t Late = 0;
  /// Number of VMs that may be moved away: they run no long-running tasks.
  int64_t Movable = 0;
  /// Capacity of one VM.
  int64_t PerVm = 0;
  /// Number of VMs that serve the pool, and the minimum that it needs to spread
  /// long-running work.
  int64_t Vms = 0;
  int64_t MinVms = 0;
  /// Work for the pool has arrived since this member became leader. Until then
  /// its demand is not known.
  bool DemandKnown = false;
  /// How long the pool has had a surplus.
  core::DurationMs Surplus;

  bool operator==(const PoolBalance &) const = default;
};

/// Options of planMoves().
struct MoveOptions {
  /// Capacity that a pool keeps in addition to its demand.
  int64_t HeadroomPercent = 10;
  /// How long a surplus must last before VMs are moved to the spare pool. A
  /// move there and back costs about as much as two VM-seconds in a working
  /// pool, and fluctuating demand soon requires the VM again.
  core::DurationMs SurplusBeforeParking{1500};
  /// The same for a pool whose demand is not known.
  core::DurationMs SurplusBeforeParkingUnknownDemand{6000};

  bool operator==(const MoveOptions &) const = default;
};

/// A planned move of one VM from a pool to another.
struct PlannedMove {
  core::PoolId From;
  core::PoolId To;

  bool operator==(const PlannedMove &) const = default;
};

/// Plans moves of VMs to pools with a shortage, first from the spare pool, then
/// from pools with a surplus, and last, for work that can still be in time,
/// from pools that only have late work for them. Moves VMs that no pool needs
/// to the spare pool. This handles demand that shifts between queues faster
/// than pools of fixed size could follow.
std::vector<PlannedMove> planMoves(std::vector<PoolBalance> pools,
                                   const MoveOptions &options);

} // namespace almondgate::policy

#endif
