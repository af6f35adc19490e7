#ifndef ALMONDGATE_SRC_DISPATCH_POOL_UPDATE_HPP
#define ALMONDGATE_SRC_DISPATCH_POOL_UPDATE_HPP

#include "almondgate/dispatch/endpoint_pools.hpp"

namespace almondgate::dispatch {

/// Brings the sums of an endpoint's pool up to date at the end of a scope in
/// which the endpoint changes in several places. The endpoint must outlive it.
class PoolUpdate {
public:
  PoolUpdate(EndpointPools &pools, EndpointView &endpoint)
      : Pools(pools), Endpoint(endpoint) {}
  ~PoolUpdate() { Pools.update(Endpoint); }
  PoolUpdate(const PoolUpdate &) = delete;
  PoolUpdate &operator=(const PoolUpdate &) = delete;

private:
  EndpointPools &Pools;
  EndpointView &Endpoint;
};

} // namespace almondgate::dispatch

#endif
