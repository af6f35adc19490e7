#ifndef ALMONDGATE_JOBS_FLEET_CONFIG_HPP
#define ALMONDGATE_JOBS_FLEET_CONFIG_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/pool_spec.hpp"
#include "almondgate/jobs/queue_spec.hpp"
#include "almondgate/jobs/team_spec.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::jobs {

/// A complete configuration as provided by operators.
struct FleetConfig {
  uint64_t Version = 0;
  std::vector<QueueSpec> Queues;
  std::vector<PoolSpec> Pools;
  std::vector<TeamSpec> Teams;
  /// The text it was parsed from, returned to operators unchanged.
  std::string Source;

  bool operator==(const FleetConfig &) const = default;
};

/// Checks that the version is positive, the sizes and ranges in
/// name_limits.hpp, that every queue refers to an existing pool, that no two
/// queues have the same host and path prefix, and that no API key occurs twice.
/// Errors: InvalidArgument.
core::Status checkConfig(const FleetConfig &config);

/// The queue with this id, or null.
const QueueSpec *findQueue(const FleetConfig &config, const core::QueueId &id);
/// The pool with this id, or null.
const PoolSpec *findPool(const FleetConfig &config, const core::PoolId &id);
/// The team with this id, or null.
const TeamSpec *findTeam(const FleetConfig &config, const core::TeamId &id);

/// The team that an API key belongs to, or null.
const TeamSpec *teamOfKey(const FleetConfig &config, const std::string &key);

/// The queue of a host whose path prefix is the longest match for a path, or
/// null.
const QueueSpec *queueAt(const FleetConfig &config, const std::string &host,
                         const std::string &path);

} // namespace almondgate::jobs

#endif
