#ifndef ALMONDGATE_MODEL_TEAM_HPP
#define ALMONDGATE_MODEL_TEAM_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// A team that hands in work.
struct Team {
  core::TeamId Id;
  /// Weight when everything is full, at least 1.
  int64_t Share = 1;
  /// Most requests running at once over the whole fleet.
  int64_t Limit = 0;
  /// Revision at which the limit or a portion of it last shrank.
  uint64_t ShrunkAt = 0;

  bool operator==(const Team &) const = default;
};

} // namespace almondgate::model

#endif
