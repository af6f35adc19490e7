#ifndef ALMONDGATE_SRC_DISPATCH_POOL_CAPACITY_HPP
#define ALMONDGATE_SRC_DISPATCH_POOL_CAPACITY_HPP

#include "almondgate/dispatch/dispatcher.hpp"

namespace almondgate::dispatch {

/// The endpoints of a pool that take starts, in one pass of placing.
struct Dispatcher::PoolCapacity {
  std::vector<EndpointView *> Endpoints;
  /// The most processor time that is free on one of them.
  int64_t LargestFreeMilliCpus = 0;
  /// Work that fits anywhere and needs this much found no room.
  int64_t SmallestUnplacedMilliCpus = INT64_MAX;
};

} // namespace almondgate::dispatch

#endif
