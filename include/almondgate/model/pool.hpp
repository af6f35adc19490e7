#ifndef ALMONDGATE_MODEL_POOL_HPP
#define ALMONDGATE_MODEL_POOL_HPP

#include "almondgate/core/id.hpp"

namespace almondgate::model {

/// A set of VMs that serve the same queues.
struct Pool {
  core::PoolId Id;
  /// True for a pool whose VMs other pools may borrow during a wave.
  bool Spare = false;

  bool operator==(const Pool &) const = default;
};

} // namespace almondgate::model

#endif
