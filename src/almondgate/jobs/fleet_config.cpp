#include "almondgate/jobs/fleet_config.hpp"
#include "almondgate/jobs/job_limits.hpp"
#include "almondgate/jobs/name_limits.hpp"

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

bool isName(const std::string &text) { return text.size() <= MaxNameBytes; }

core::Status checkQueue(const QueueSpec &queue) {
  if (!isName(queue.Id.str()) || queue.Host.size() > MaxAddressBytes ||
      queue.PathPrefix.size() > MaxAddressBytes)
    return invalid("the id, host or path prefix of a queue is too long");
  // The negated form also refuses NaN.
  if (!(queue.Stretch >= 0 && queue.Stretch <= MaxStretch))
    return invalid("stretch of queue '" + queue.Id.str() +
                   "' is not in 0 to 1000000");
  const bool in_range = queue.MaxAttempts >= 0 && queue.TargetMs >= 0 &&
                        queue.TargetMs <= MaxEstimateMs &&
                        queue.TicketLifeMs >= 0 &&
                        queue.TicketLifeMs <= MaxEstimateMs;
  if (!in_range)
    return invalid("a number of queue '" + queue.Id.str() +
                   "' is negative or too large");
  return core::ok();
}

core::Status checkTeam(const TeamSpec &team) {
  const bool fits = isName(team.Id.str()) &&
                    std::all_of(team.Keys.begin(), team.Keys.end(),
                                [](const std::string &key) {
                                  return key.size() <= MaxAddressBytes;
                                });
  if (!fits)
    return invalid("the id or an API key of a team is too long");
  const bool in_range = team.Weight >= 0 && team.Limit.MilliCpus >= 0 &&
                        team.Limit.MemoryMb >= 0 &&
                        team.Limit.Accelerators >= 0;
  if (!in_range)
    return invalid("the weight or limit of team '" + team.Id.str() +
                   "' is negative");
  return core::ok();
}

// Checks the sizes and ranges of all items by themselves.
core::Status checkItems(const FleetConfig &config) {
  size_t keys = 0;
  for (const auto &team : config.Teams)
    keys += team.Keys.size();
  if (config.Queues.size() > MaxQueues || config.Pools.size() > MaxPools ||
      config.Teams.size() > MaxTeams || keys > MaxKeys)
    return invalid("the configuration has too many queues, pools, teams or "
                   "API keys");
  for (const auto &queue : config.Queues)
    if (auto good = checkQueue(queue); !good)
      return good;
  for (const auto &pool : config.Pools)
    if (!isName(pool.Id.str()))
      return invalid("the id of a pool is too long");
  for (const auto &team : config.Teams)
    if (auto good = checkTeam(team); !good)
      return good;
  return core::ok();
}

} // namespace

core::Status checkConfig(const FleetConfig &config) {
  // Version 0 stands for no configuration.
  if (config.Version == 0)
    return invalid("the version must be positive");
  if (auto good = checkItems(config); !good)
    return good;
  std::set<core::PoolId> pools;
  for (const auto &pool : config.Pools)
    pools.insert(pool.Id);
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const auto &queue : config.Queues) {
    if (!pools.contains(queue.Pool))
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
