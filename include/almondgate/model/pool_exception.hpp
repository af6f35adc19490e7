#ifndef ALMONDGATE_MODEL_POOL_EXCEPTION_HPP
#define ALMONDGATE_MODEL_POOL_EXCEPTION_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::model {

/// The fleet settings that can be overridden for one pool.
enum class DefaultField {
  MaxUnavailablePercent,
  MaxWaiting,
  MaxWaitMs,
  MaxRunMs
};

/// An override of one fleet default for one pool.
struct PoolException {
  core::PoolId Pool;
  DefaultField Field = DefaultField::MaxUnavailablePercent;
  int64_t Value = 0;
  /// Why the pool deviates from the default; never empty.
  std::string Reason;

  bool operator==(const PoolException &) const = default;
};

} // namespace almondgate::model

#endif
