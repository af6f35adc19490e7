#include "almondgate/dispatch/endpoint_pools.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::PoolId;
using core::TimeMs;

EndpointPools::EndpointPools(Predicate is_serving, Predicate is_usable)
    : IsServing(std::move(is_serving)), IsUsable(std::move(is_usable)) {}

PoolShare EndpointPools::shareOf(const EndpointView &endpoint) const {
  PoolShare share;
  share.Serving = IsServing(endpoint);
  share.Usable = IsUsable(endpoint);
  share.Unread = endpoint.isUnread();
  share.Suspect = endpoint.Suspect;
  share.BackOffUntil = endpoint.BackOffUntil;
  share.Capacity = endpoint.Facts.Capacity;
  share.FreeMilliCpus = share.Capacity.MilliCpus - endpoint.Used.MilliCpus;
  share.ShortTaskMilliCpus =
      share.Capacity.MilliCpus - endpoint.LongRunningMilliCpus;
  return share;
}

void EndpointPools::count(Pool &pool, EndpointView &endpoint,
                          const PoolShare &share, int64_t sign) {
  if (share.Serving)
    pool.ServingMilliCpus += sign * share.ShortTaskMilliCpus;
  if (share.Unread) {
    UnreadCount += sign;
    pool.UnreadCount += sign;
    pool.UnreadCapacity = sign > 0 ? pool.UnreadCapacity + share.Capacity
                                   : pool.UnreadCapacity - share.Capacity;
  }
  if (share.Suspect && sign > 0)
    Suspects.emplace(endpoint.Facts.Id, &endpoint);
  else if (share.Suspect)
    Suspects.erase(endpoint.Facts.Id);
  if (share.Usable && sign > 0)
    pool.ByFree.emplace(share.FreeMilliCpus, &endpoint);
  else if (share.Usable)
    pool.ByFree.erase({share.FreeMilliCpus, &endpoint});
}

void EndpointPools::add(EndpointView &endpoint) {
  Pool &pool = Pools[endpoint.Facts.Pool];
  pool.Members.emplace(endpoint.Facts.Id, &endpoint);
  pool.Stale = true;
  endpoint.Share = shareOf(endpoint);
  count(pool, endpoint, endpoint.Share, 1);
}

void EndpointPools::remove(EndpointView &endpoint) {
  const auto it = Pools.find(endpoint.Facts.Pool);
  Pool &pool = it->second;
  count(pool, endpoint, endpoint.Share, -1);
  pool.Members.erase(endpoint.Facts.Id);
  pool.Stale = true;
  if (pool.Members.empty())
    Pools.erase(it);
}

void EndpointPools::update(EndpointView &endpoint) {
  const PoolShare share = shareOf(endpoint);
  const PoolShare before = endpoint.Share;
  if (share == before)
    return;
  Pool &pool = Pools.at(endpoint.Facts.Pool);
  count(pool, endpoint, before, -1);
  count(pool, endpoint, share, 1);
  endpoint.Share = share;
  pool.Stale = pool.Stale || share.Usable != before.Usable ||
               share.BackOffUntil != before.BackOffUntil;
}

void EndpointPools::updateAll() {
  for (auto &[id, pool] : Pools)
    for (auto &[endpoint_id, endpoint] : pool.Members)
      update(*endpoint);
}

void EndpointPools::clear() {
  Pools.clear();
  Suspects.clear();
  UnreadCount = 0;
}

const EndpointPools::Pool *EndpointPools::find(const PoolId &pool) const {
  const auto it = Pools.find(pool);
  return it == Pools.end() ? nullptr : &it->second;
}

void EndpointPools::rebuild(Pool &pool, TimeMs now) {
  pool.Usable.clear();
  pool.Stale = false;
  pool.RecheckAt = TimeMs{INT64_MAX};
  for (const auto &[id, endpoint] : pool.Members) {
    if (!endpoint->Share.Usable)
      continue;
    if (endpoint->BackOffUntil <= now)
      pool.Usable.push_back(endpoint);
    else
      pool.RecheckAt = std::min(pool.RecheckAt, endpoint->BackOffUntil);
  }
}

const EndpointPools::Endpoints &EndpointPools::usable(const PoolId &pool,
                                                      TimeMs now) {
  static const Endpoints none;
  const auto it = Pools.find(pool);
  if (it == Pools.end())
    return none;
  if (it->second.Stale || now >= it->second.RecheckAt)
    rebuild(it->second, now);
  return it->second.Usable;
}

EndpointPools::Endpoints EndpointPools::usableWithFree(const PoolId &pool,
                                                       int64_t milli_cpus,
                                                       TimeMs now) const {
  Endpoints out;
  const Pool *found = find(pool);
  if (!found)
    return out;
  for (auto it = found->ByFree.rbegin();
       it != found->ByFree.rend() && it->first >= milli_cpus; ++it)
    if (it->second->BackOffUntil <= now)
      out.push_back(it->second);
  std::sort(out.begin(), out.end(),
            [](const EndpointView *a, const EndpointView *b) {
              return a->Facts.Id < b->Facts.Id;
            });
  return out;
}

int64_t EndpointPools::largestFree(const PoolId &pool, TimeMs now) const {
  const Pool *found = find(pool);
  if (!found)
    return 0;
  for (auto it = found->ByFree.rbegin(); it != found->ByFree.rend(); ++it)
    if (it->second->BackOffUntil <= now)
      return std::max<int64_t>(it->first, 0);
  return 0;
}

const std::map<jobs::EndpointId, EndpointView *> *
EndpointPools::members(const PoolId &pool) const {
  const Pool *found = find(pool);
  return found ? &found->Members : nullptr;
}

int64_t EndpointPools::servingMilliCpus(const PoolId &pool) const {
  const Pool *found = find(pool);
  return found ? found->ServingMilliCpus : 0;
}

bool EndpointPools::hasUnread(const PoolId &pool) const {
  const Pool *found = find(pool);
  return found && found->UnreadCount > 0;
}

std::map<PoolId, core::Size> EndpointPools::unreadCapacity() const {
  std::map<PoolId, core::Size> out;
  for (const auto &[id, pool] : Pools)
    if (pool.UnreadCount > 0)
      out.emplace(id, pool.UnreadCapacity);
  return out;
}

std::vector<std::string> EndpointPools::check(TimeMs now) {
  std::vector<std::string> out;
  int64_t unread = 0;
  std::map<jobs::EndpointId, EndpointView *> suspects;
  for (auto &[id, pool] : Pools) {
    Pool fresh;
    fresh.Members = pool.Members;
    for (const auto &[endpoint_id, endpoint] : pool.Members) {
      const PoolShare share = shareOf(*endpoint);
      if (share != endpoint->Share)
        out.push_back("the pool does not know of a change of endpoint " +
                      endpoint_id.str());
      if (share.Suspect)
        suspects.emplace(endpoint_id, endpoint);
      fresh.ServingMilliCpus += share.Serving ? share.ShortTaskMilliCpus : 0;
      fresh.UnreadCount += share.Unread ? 1 : 0;
      if (share.Unread)
        fresh.UnreadCapacity = fresh.UnreadCapacity + share.Capacity;
      if (share.Usable)
        fresh.ByFree.emplace(share.FreeMilliCpus, endpoint);
    }
    unread += fresh.UnreadCount;
    rebuild(fresh, now);
    if (fresh.ServingMilliCpus != pool.ServingMilliCpus ||
        fresh.UnreadCount != pool.UnreadCount ||
        fresh.UnreadCapacity != pool.UnreadCapacity ||
        fresh.ByFree != pool.ByFree || fresh.Usable != usable(id, now))
      out.push_back("sums or lists of pool " + id.str() + " are out of date");
  }
  if (suspects != Suspects)
    out.push_back("the suspected endpoints are out of date");
  if (unread != UnreadCount)
    out.push_back("the number of unread endpoints is out of date");
  return out;
}

} // namespace almondgate::dispatch
