#ifndef ALMONDGATE_SRC_DISPATCH_POOL_CAPACITY_HPP
#define ALMONDGATE_SRC_DISPATCH_POOL_CAPACITY_HPP

#include "almondgate/dispatch/dispatcher.hpp"

#include "unplaced_needs.hpp"

namespace almondgate::dispatch {

/// The endpoints of a pool that accept starts, in one placement pass.
struct Dispatcher::PoolCapacity {
  const EndpointPools::Endpoints *Endpoints = nullptr;
  /// The most processor time that is free on one endpoint.
  int64_t LargestFreeMilliCpus = 0;
  /// The tasks for which no endpoint had room in this pass. A cold endpoint has
  /// less room for short ones.
  UnplacedNeeds Short;
  UnplacedNeeds LongRunning;

  UnplacedNeeds &unplaced(const jobs::StepSpec &step) {
    return step.LongRunning ? LongRunning : Short;
  }
};

} // namespace almondgate::dispatch

#endif
