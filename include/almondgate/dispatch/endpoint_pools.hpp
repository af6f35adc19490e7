#ifndef ALMONDGATE_DISPATCH_ENDPOINT_POOLS_HPP
#define ALMONDGATE_DISPATCH_ENDPOINT_POOLS_HPP

#include "almondgate/dispatch/endpoint_view.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// The endpoints of each pool, with sums and lists that follow each change of
/// an endpoint, so that neither a placement pass nor a submission has to look
/// at all endpoints. Holds pointers to the endpoints.
class EndpointPools {
public:
  using Predicate = std::function<bool(const EndpointView &)>;
  using Endpoints = std::vector<EndpointView *>;

  /// `is_serving` tells whether an endpoint counts towards the capacity of its
  /// pool, `is_usable` whether it accepts starts unless it has to be left alone
  /// for a while (EndpointView::BackOffUntil). Both may depend on the endpoint
  /// only; update() or updateAll() is to be called when their answer changes.
  EndpointPools(Predicate is_serving, Predicate is_usable);

  /// Adds an endpoint to the pool that it names.
  void add(EndpointView &endpoint);
  /// Removes an endpoint; to be called before it names another pool.
  void remove(EndpointView &endpoint);
  /// Brings sums and lists up to date after the endpoint changed.
  void update(EndpointView &endpoint);
  /// Does so for all endpoints.
  void updateAll();
  void clear();

  /// The endpoints of a pool that accept starts, by id. Valid until the next
  /// call for this pool.
  const Endpoints &usable(const core::PoolId &pool, core::TimeMs now);
  /// Those of them with this much free processor time, by id.
  Endpoints usableWithFree(const core::PoolId &pool, int64_t milli_cpus,
                           core::TimeMs now) const;
  /// The most processor time that is free on one of them, at least 0.
  int64_t largestFree(const core::PoolId &pool, core::TimeMs now) const;

  /// The endpoints of a pool, by id; null if there are none.
  const std::map<jobs::EndpointId, EndpointView *> *
  members(const core::PoolId &pool) const;
  /// Processor time of the serving endpoints of a pool that their long-running
  /// tasks leave, in millicores.
  int64_t servingMilliCpus(const core::PoolId &pool) const;

  /// All endpoints with EndpointView::Suspect, by id.
  const std::map<jobs::EndpointId, EndpointView *> &suspects() const {
    return Suspects;
  }

  bool hasUnread() const { return UnreadCount > 0; }
  bool hasUnread(const core::PoolId &pool) const;
  /// Capacity of the endpoints that have not been read, by pool.
  std::map<core::PoolId, core::Size> unreadCapacity() const;

  /// Describes each difference to sums and lists computed anew from the
  /// endpoints, for tests.
  std::vector<std::string> check(core::TimeMs now);

private:
  struct Pool {
    std::map<jobs::EndpointId, EndpointView *> Members;
    /// Endpoints with PoolShare::Usable by free processor time.
    std::set<std::pair<int64_t, EndpointView *>> ByFree;
    int64_t ServingMilliCpus = 0;
    int64_t UnreadCount = 0;
    core::Size UnreadCapacity;
    Endpoints Usable;
    /// Usable is to be built anew, at the latest from RecheckAt on.
    bool Stale = true;
    core::TimeMs RecheckAt{INT64_MAX};
  };

  PoolShare shareOf(const EndpointView &endpoint) const;
  /// Adds the share to the sums, or takes it out.
  void count(Pool &pool, EndpointView &endpoint, const PoolShare &share,
             int64_t sign);
  const Pool *find(const core::PoolId &pool) const;
  static void rebuild(Pool &pool, core::TimeMs now);

  const Predicate IsServing;
  const Predicate IsUsable;
  std::map<core::PoolId, Pool> Pools;
  int64_t UnreadCount = 0;
  std::map<jobs::EndpointId, EndpointView *> Suspects;
};

} // namespace almondgate::dispatch

#endif
