#ifndef ALMONDGATE_MODEL_GRANT_HPP
#define ALMONDGATE_MODEL_GRANT_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// Permission to run one request on one endpoint. The entry returns it with a
/// Release, whether or not it was used.
struct Grant {
  core::RequestId Id;
  core::PoolId Pool;
  core::VmId Vm;
  core::Address Endpoint;
  /// Epoch of the pool's owner.
  uint64_t Epoch = 0;
  /// Milliseconds from the arrival of the request to the grant.
  int64_t WaitedMs = 0;

  bool operator==(const Grant &) const = default;
};

} // namespace almondgate::model

#endif
