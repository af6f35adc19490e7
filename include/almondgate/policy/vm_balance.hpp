#ifndef ALMONDGATE_POLICY_VM_BALANCE_HPP
#define ALMONDGATE_POLICY_VM_BALANCE_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/id.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::policy {

/// What a pool has and wants, in thousandths of a core for work that is not
/// long-running.
struct PoolBalance {
  core::PoolId Pool;
  /// Its VMs are switched off: they serve nobody and cost nothing.
  bool Spare = false;
  int64_t Usable = 0;
  /// On VMs that are on their way to the pool.
  int64_t Incoming = 0;
  int64_t Wanted = 0;
  /// VMs that may leave: nothing long-running is on them.
  int64_t Movable = 0;
  /// What one VM gives.
  int64_t PerVm = 0;
  /// VMs that serve the pool, and the fewest it needs to spread long-running
  /// work over.
  int64_t Vms = 0;
  int64_t MinVms = 0;
  /// Work has come since the member leads; before, demand is not known.
  bool DemandKnown = false;
  /// How long the pool has had more than it wants.
  core::DurationMs Surplus;

  bool operator==(const PoolBalance &) const = default;
};

/// Settings of planMoves().
struct MoveOptions {
  /// A pool keeps this much more than it wants.
  int64_t HeadroomPercent = 10;
  /// Moving a VM to the spare pool and back costs about as much as two
  /// VM-seconds in a working pool, and demand that swings asks for it again.
  core::DurationMs SurplusBeforeParking{1500};
  /// The same for a pool whose demand is not known yet.
  core::DurationMs SurplusBeforeParkingUnknownDemand{6000};

  bool operator==(const MoveOptions &) const = default;
};

/// A VM is to leave one pool for another.
struct PlannedMove {
  core::PoolId From;
  core::PoolId To;

  bool operator==(const PlannedMove &) const = default;
};

/// Brings VMs to pools that want more than they have, from the spare pool
/// first and then from pools with a surplus, and parks what nobody wants.
/// Answers demand that goes round between queues faster than any pool of fixed
/// size could follow.
std::vector<PlannedMove> planMoves(std::vector<PoolBalance> pools,
                                   const MoveOptions &rules);

} // namespace almondgate::policy

#endif
