#include "almondgate/jobs/config_index.hpp"

namespace almondgate::jobs {

namespace {

template <class Map, class Key>
auto findIn(const Map &map, const Key &key) -> typename Map::mapped_type {
  const auto it = map.find(key);
  return it == map.end() ? nullptr : it->second;
}

} // namespace

ConfigIndex::ConfigIndex(const FleetConfig &config) : Version(config.Version) {
  for (const auto &queue : config.Queues) {
    Queues.emplace(queue.Id, &queue);
    HostQueues &host = Hosts[queue.Host];
    host.ByPrefix.emplace(queue.PathPrefix, &queue);
    host.PrefixLengths.insert(queue.PathPrefix.size());
  }
  for (const auto &team : config.Teams) {
    Teams.emplace(team.Id, &team);
    for (const auto &key : team.Keys)
      Keys.emplace(key, &team);
  }
}

const QueueSpec *ConfigIndex::queue(const core::QueueId &id) const {
  return findIn(Queues, id);
}

const TeamSpec *ConfigIndex::team(const core::TeamId &id) const {
  return findIn(Teams, id);
}

const TeamSpec *ConfigIndex::teamOfKey(const std::string &key) const {
  return key.empty() ? nullptr : findIn(Keys, key);
}

const QueueSpec *ConfigIndex::queueAt(const std::string &host,
                                      const std::string &path) const {
  const auto found = Hosts.find(host);
  if (found == Hosts.end())
    return nullptr;
  for (const size_t n : found->second.PrefixLengths)
    if (n <= path.size())
      if (const auto *queue = findIn(found->second.ByPrefix, path.substr(0, n)))
        return queue;
  return nullptr;
}

} // namespace almondgate::jobs
