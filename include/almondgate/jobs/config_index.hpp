#ifndef ALMONDGATE_JOBS_CONFIG_INDEX_HPP
#define ALMONDGATE_JOBS_CONFIG_INDEX_HPP

#include "almondgate/jobs/fleet_config.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace almondgate::jobs {

/// Finds the parts of one configuration by name, place or key in logarithmic
/// time: configurations have thousands of queues, and every call and every
/// open job asks for one. Valid while the configuration stays where it is.
class ConfigIndex {
public:
  ConfigIndex() = default;
  explicit ConfigIndex(const FleetConfig &config);

  /// The version of the configuration that was indexed.
  uint64_t version() const { return Version; }

  const QueueSpec *queue(const core::QueueId &id) const;
  const TeamSpec *team(const core::TeamId &id) const;

  /// The team that a key belongs to, or null.
  const TeamSpec *teamOfKey(const std::string &key) const;

  /// The queue at a host with the longest prefix of a path, or null.
  const QueueSpec *queueAt(const std::string &host,
                           const std::string &path) const;

private:
  uint64_t Version = 0;
  std::map<core::QueueId, const QueueSpec *> Queues;
  std::map<core::TeamId, const TeamSpec *> Teams;
  std::map<std::string, const TeamSpec *> Keys;
  /// What is at one host.
  struct HostQueues {
    std::map<std::string, const QueueSpec *> ByPrefix;
    std::set<size_t, std::greater<>> PrefixLengths;
  };

  std::map<std::string, HostQueues> Hosts;
};

} // namespace almondgate::jobs

#endif
