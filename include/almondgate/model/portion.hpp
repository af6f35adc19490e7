#ifndef ALMONDGATE_MODEL_PORTION_HPP
#define ALMONDGATE_MODEL_PORTION_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// A pool's part of a team's limit. The portions of a team never add up to
/// more than its limit.
struct Portion {
  core::TeamId Team;
  core::PoolId Pool;
  int64_t Amount = 0;

  bool operator==(const Portion &) const = default;
};

} // namespace almondgate::model

#endif
