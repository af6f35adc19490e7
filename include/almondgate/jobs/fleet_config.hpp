#ifndef ALMONDGATE_JOBS_FLEET_CONFIG_HPP
#define ALMONDGATE_JOBS_FLEET_CONFIG_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/pool_spec.hpp"
#include "almondgate/jobs/queue_spec.hpp"
#include "almondgate/jobs/team_spec.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::jobs {

/// A configuration revision that the operators gave, whole.
struct FleetConfig {
  uint64_t Version = 0;
  std::vector<QueueSpec> Queues;
  std::vector<PoolSpec> Pools;
  std::vector<TeamSpec> Teams;
  /// The text it was read from, given back to operators as it came.
  std::string Source;

  bool operator==(const FleetConfig &) const = default;
};

/// Checks that queues name known pools and different places, and that no two
/// teams share a key. Errors: InvalidArgument.
core::Status checkConfig(const FleetConfig &config);

const QueueSpec *findQueue(const FleetConfig &config, const core::QueueId &id);
const PoolSpec *findPool(const FleetConfig &config, const core::PoolId &id);
const TeamSpec *findTeam(const FleetConfig &config, const core::TeamId &id);

/// The team that a key belongs to, or null.
const TeamSpec *teamOfKey(const FleetConfig &config, const std::string &key);

/// The queue at a host with the longest prefix of a path, or null.
const QueueSpec *queueAt(const FleetConfig &config, const std::string &host,
                         const std::string &path);

} // namespace almondgate::jobs

#endif
