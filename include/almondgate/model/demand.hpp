#ifndef ALMONDGATE_MODEL_DEMAND_HPP
#define ALMONDGATE_MODEL_DEMAND_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// What a team has running and waiting in a pool, as its placer sees it.
struct Demand {
  core::PoolId Pool;
  core::TeamId Team;
  int64_t Running = 0;
  int64_t Waiting = 0;

  bool operator==(const Demand &) const = default;
};

/// What a VM runs, as its pool's placer sees it.
struct VmStatus {
  core::VmId Vm;
  int64_t Running = 0;
  /// Announced lately, ready, not leaving and not ejected.
  bool Healthy = false;

  bool operator==(const VmStatus &) const = default;
};

} // namespace almondgate::model

#endif
