#ifndef ALMONDGATE_MODEL_POOL_OWNER_HPP
#define ALMONDGATE_MODEL_POOL_OWNER_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// The placer that owns a pool. The epoch increases with each change of owner.
struct PoolOwner {
  core::PoolId Pool;
  core::ProcessId Owner;
  core::Address Placer;
  uint64_t Epoch = 0;

  bool operator==(const PoolOwner &) const = default;
};

} // namespace almondgate::model

#endif
