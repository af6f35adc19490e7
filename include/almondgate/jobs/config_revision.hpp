#ifndef ALMONDGATE_JOBS_CONFIG_REVISION_HPP
#define ALMONDGATE_JOBS_CONFIG_REVISION_HPP

#include "almondgate/jobs/fleet_config.hpp"

#include <optional>

namespace almondgate::jobs {

/// The difference between a configuration and its predecessor. Revisions are
/// small: they change a few of thousands of queues.
struct ConfigRevision {
  /// Version of the configuration that this revision applies to; it can't be
  /// applied to any other.
  uint64_t Base = 0;
  uint64_t Version = 0;
  /// Queues that were added or changed.
  std::vector<QueueSpec> QueuesPut;
  /// Queues that were removed.
  std::vector<core::QueueId> QueuesGone;
  std::vector<PoolSpec> Pools;
  std::vector<TeamSpec> Teams;
  std::string Source;

  bool operator==(const ConfigRevision &) const = default;
};

/// Computes the difference between two configurations. Empty if two queues of
/// one configuration have the same id, because they can't be distinguished.
std::optional<ConfigRevision> diffConfigs(const FleetConfig &base,
                                          const FleetConfig &next);

/// Applies a revision to `config`. The order of the resulting queues is
/// unspecified. Does nothing if the revision has a different base version.
void applyRevision(FleetConfig &config, const ConfigRevision &revision);

} // namespace almondgate::jobs

#endif
