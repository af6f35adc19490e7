#ifndef ALMONDGATE_MODEL_TEAM_HPP
#define ALMONDGATE_MODEL_TEAM_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// A team whose callers submit requests.
struct Team {
  core::TeamId Id;
  /// Weight by which capacity is divided when the fleet is full; at least 1.
  int64_t Share = 1;
  /// Maximum number of requests running at once in the whole fleet.
  int64_t Limit = 0;
  /// Revision at which the limit or a portion of it was last reduced.
  uint64_t ShrunkAt = 0;

  bool operator==(const Team &) const = default;
};

} // namespace almondgate::model

#endif
