#ifndef ALMONDGATE_JOBS_CONFIG_REVISION_HPP
#define ALMONDGATE_JOBS_CONFIG_REVISION_HPP

#include "almondgate/jobs/fleet_config.hpp"

#include <optional>

namespace almondgate::jobs {

/// What a configuration changes in the one before. Of thousands of queues a
/// revision touches a few.
struct ConfigRevision {
  /// The version that it changes; it fits no other.
  uint64_t Base = 0;
  uint64_t Version = 0;
  std::vector<QueueSpec> QueuesPut;
  std::vector<core::QueueId> QueuesGone;
  std::vector<PoolSpec> Pools;
  std::vector<TeamSpec> Teams;
  std::string Source;

  bool operator==(const ConfigRevision &) const = default;
};

/// The difference between two configurations; nothing where queues of one
/// share a name, so that they can't be told apart.
std::optional<ConfigRevision> diffConfigs(const FleetConfig &base,
                                          const FleetConfig &next);

/// Makes `config` the next one. Its queues are in no particular order. Changes
/// nothing where the revision does not fit.
void applyRevision(FleetConfig &config, const ConfigRevision &revision);

} // namespace almondgate::jobs

#endif
