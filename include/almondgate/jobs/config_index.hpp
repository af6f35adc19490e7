#ifndef ALMONDGATE_JOBS_CONFIG_INDEX_HPP
#define ALMONDGATE_JOBS_CONFIG_INDEX_HPP

#include "almondgate/jobs/fleet_config.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace almondgate::jobs {

/// Looks up queues and teams of one configuration by id, by host and path, or
/// by API key. Lookups take logarithmic time, because configurations have
/// thousands of queues and every call and every open job needs a lookup.
/// Holds pointers into the configuration, which must outlive the index and not
/// be moved or modified.
class ConfigIndex {
public:
  ConfigIndex() = default;
  explicit ConfigIndex(const FleetConfig &config);

  /// Version of the indexed configuration.
  uint64_t version() const { return Version; }

  /// The queue with this id, or null.
  const QueueSpec *queue(const core::QueueId &id) const;
  /// The team with this id, or null.
  const TeamSpec *team(const core::TeamId &id) const;

  /// The team that an API key belongs to, or null.
  const TeamSpec *teamOfKey(const std::string &key) const;

  /// The queue of a host whose path prefix is the longest match for a path, or
  /// null.
  const QueueSpec *queueAt(const std::string &host,
                           const std::string &path) const;

private:
  uint64_t Version = 0;
  std::map<core::QueueId, const QueueSpec *> Queues;
  std::map<core::TeamId, const TeamSpec *> Teams;
  std::map<std::string, const TeamSpec *> Keys;
  /// The queues of one host, by path prefix.
  struct HostQueues {
    std::map<std::string, const QueueSpec *> ByPrefix;
    std::set<size_t, std::greater<>> PrefixLengths;
  };

  std::map<std::string, HostQueues> Hosts;
};

} // namespace almondgate::jobs

#endif
