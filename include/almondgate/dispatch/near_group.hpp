#ifndef ALMONDGATE_DISPATCH_NEAR_GROUP_HPP
#define ALMONDGATE_DISPATCH_NEAR_GROUP_HPP

#include "almondgate/dispatch/endpoint_view.hpp"

#include <optional>
#include <vector>

namespace almondgate::dispatch {

/// The usable endpoints of a pool that are near one rack's data, in one
/// placement pass.
struct NearGroup {
  std::vector<EndpointView *> Near;
  /// The smallest task that found no capacity near in this pass; only of steps
  /// that may run on any of the endpoints.
  std::optional<core::Size> SmallestUnplaced;
  /// The most processor time that was free on one endpoint elsewhere when the
  /// group was gathered.
  int64_t LargestFreeElsewhere = 0;
  /// At least half of the processor time elsewhere was free then.
  bool IdleElsewhere = false;
};

} // namespace almondgate::dispatch

#endif
