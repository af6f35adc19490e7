#ifndef ALMONDGATE_JOBS_TEAM_SPEC_HPP
#define ALMONDGATE_JOBS_TEAM_SPEC_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"

#include <string>
#include <vector>

namespace almondgate::jobs {

/// A client account as the operators configure it.
struct TeamSpec {
  core::TeamId Id;
  std::vector<std::string> Keys;
  /// Its share when everything is full, against those of the others.
  int64_t Weight = 1;
  /// What it may have running over all pools; 0 of a resource for no limit.
  core::Size Limit;

  bool operator==(const TeamSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
