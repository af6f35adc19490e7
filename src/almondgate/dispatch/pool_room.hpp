#ifndef ALMONDGATE_SRC_DISPATCH_POOL_ROOM_HPP
#define ALMONDGATE_SRC_DISPATCH_POOL_ROOM_HPP

#include "almondgate/dispatch/dispatcher.hpp"

namespace almondgate::dispatch {

/// The endpoints of a pool that take starts, in one pass of placing.
struct Dispatcher::PoolRoom {
  std::vector<EndpointView *> Endpoints;
  /// The most processor time that is free on one of them.
  int64_t MostFree = 0;
  /// Work that fits anywhere and needs this much found no room.
  int64_t Failed = INT64_MAX;
};

} // namespace almondgate::dispatch

#endif
