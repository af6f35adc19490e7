#include "almondgate/jobs/fleet_config.hpp"

#include <algorithm>
#include <set>

namespace almondgate::jobs {

namespace {

core::Error invalid(std::string text) {
  return {core::ErrorCode::InvalidArgument, std::move(text)};
}

template <class Item, class Id>
const Item *findById(const std::vector<Item> &items, const Id &id) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&](const Item &item) { return item.Id == id; });
  return it == items.end() ? nullptr : &*it;
}

} // namespace

core::Status checkConfig(const FleetConfig &config) {
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const auto &queue : config.Queues) {
    if (!findPool(config, queue.Pool))
      return invalid("queue '" + queue.Id.str() + "' refers to unknown pool '" +
                     queue.Pool.str() + "'");
    if (!prefixes.emplace(queue.Host, queue.PathPrefix).second)
      return invalid("queue '" + queue.Id.str() + "' has the same host '" +
                     queue.Host + "' and path prefix '" + queue.PathPrefix +
                     "' as another queue");
  }
  std::set<std::string> keys;
  for (const auto &team : config.Teams)
    for (const auto &key : team.Keys)
      if (!keys.insert(key).second)
        return invalid(
            "team '" + team.Id.str() +
            "' has an API key that is already in use by this or another team");
  return core::ok();
}

const QueueSpec *findQueue(const FleetConfig &config, const core::QueueId &id) {
  return findById(config.Queues, id);
}

const PoolSpec *findPool(const FleetConfig &config, const core::PoolId &id) {
  return findById(config.Pools, id);
}

const TeamSpec *findTeam(const FleetConfig &config, const core::TeamId &id) {
  return findById(config.Teams, id);
}

const TeamSpec *teamOfKey(const FleetConfig &config, const std::string &key) {
  if (key.empty())
    return nullptr;
  for (const auto &team : config.Teams)
    if (std::find(team.Keys.begin(), team.Keys.end(), key) != team.Keys.end())
      return &team;
  return nullptr;
}

const QueueSpec *queueAt(const FleetConfig &config, const std::string &host,
                         const std::string &path) {
  const QueueSpec *best = nullptr;
  for (const auto &queue : config.Queues) {
    const bool matches =
        queue.Host == host && path.starts_with(queue.PathPrefix);
    if (!matches)
      continue;
    if (!best || queue.PathPrefix.size() > best->PathPrefix.size())
      best = &queue;
  }
  return best;
}

} // namespace almondgate::jobs
