#ifndef ALMONDGATE_JOBS_POOL_SPEC_HPP
#define ALMONDGATE_JOBS_POOL_SPEC_HPP

#include "almondgate/core/id.hpp"

namespace almondgate::jobs {

/// A pool as configured by operators.
struct PoolSpec {
  core::PoolId Id;
  /// Endpoints refuse tasks that don't fit. In pools without this flag they
  /// start every task they are ordered to run.
  bool GuardsCapacity = false;
  /// VMs in this pool are powered off and cost nothing.
  bool Spare = false;

  bool operator==(const PoolSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
