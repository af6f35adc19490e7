#ifndef ALMONDGATE_JOBS_TEAM_SPEC_HPP
#define ALMONDGATE_JOBS_TEAM_SPEC_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"

#include <string>
#include <vector>

namespace almondgate::jobs {

/// A client account as configured by operators.
struct TeamSpec {
  core::TeamId Id;
  /// API keys of the account.
  std::vector<std::string> Keys;
  /// Share of the capacity under contention, relative to other teams.
  int64_t Weight = 1;
  /// Resources that it may use at once over all pools; 0 of a resource means no
  /// limit.
  core::Size Limit;

  bool operator==(const TeamSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
