#ifndef ALMONDGATE_MODEL_POOL_EXCEPTION_HPP
#define ALMONDGATE_MODEL_POOL_EXCEPTION_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::model {

/// The settings that a pool may have otherwise than the fleet.
enum class DefaultField {
  MaxUnavailablePercent,
  MaxWaiting,
  MaxWaitMs,
  MaxRunMs
};

/// One pool's deviation from the fleet's defaults.
struct PoolException {
  core::PoolId Pool;
  DefaultField Field = DefaultField::MaxUnavailablePercent;
  int64_t Value = 0;
  /// Why; never empty.
  std::string Reason;

  bool operator==(const PoolException &) const = default;
};

} // namespace almondgate::model

#endif
