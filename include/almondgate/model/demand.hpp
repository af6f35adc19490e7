#ifndef ALMONDGATE_MODEL_DEMAND_HPP
#define ALMONDGATE_MODEL_DEMAND_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// A team's running and waiting requests in a pool, counted by its placer.
struct Demand {
  core::PoolId Pool;
  core::TeamId Team;
  int64_t Running = 0;
  int64_t Waiting = 0;

  bool operator==(const Demand &) const = default;
};

/// Load and health of a VM, as recorded by its pool's placer.
struct VmStatus {
  core::VmId Vm;
  int64_t Running = 0;
  /// Announced itself recently, is ready, not leaving and not ejected.
  bool Healthy = false;

  bool operator==(const VmStatus &) const = default;
};

} // namespace almondgate::model

#endif
