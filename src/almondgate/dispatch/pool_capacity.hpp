#ifndef ALMONDGATE_SRC_DISPATCH_POOL_CAPACITY_HPP
#define ALMONDGATE_SRC_DISPATCH_POOL_CAPACITY_HPP

#include "almondgate/dispatch/dispatcher.hpp"

namespace almondgate::dispatch {

/// The endpoints of a pool that accept starts, in one placement pass.
struct Dispatcher::PoolCapacity {
  const EndpointPools::Endpoints *Endpoints = nullptr;
  /// The most processor time that is free on one endpoint.
  int64_t LargestFreeMilliCpus = 0;
  /// Smallest processor time for which no endpoint had capacity in this pass;
  /// only from steps that may run on any endpoint.
  int64_t SmallestUnplacedMilliCpus = INT64_MAX;
};

} // namespace almondgate::dispatch

#endif
