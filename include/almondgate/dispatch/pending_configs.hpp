#ifndef ALMONDGATE_DISPATCH_PENDING_CONFIGS_HPP
#define ALMONDGATE_DISPATCH_PENDING_CONFIGS_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/fleet_config.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace almondgate::dispatch {

/// The changes of the configuration that have not been acknowledged. One is
/// recorded at a time; of those that arrive meanwhile the newest is recorded
/// next, and the others are acknowledged with it. So a burst of changes, and
/// changes that are sent again, cost the members no more than they can record.
class PendingConfigs {
public:
  using OnStatus = std::function<void(const core::Status &)>;

  /// Adds a change; `done` receives its outcome.
  void add(const jobs::FleetConfig &config, const OnStatus &done);

  /// Returns the change to record now, if there is one and none is being
  /// recorded.
  std::optional<jobs::FleetConfig> takeNext();

  /// Ends the recording that takeNext() began. Acknowledges what is not newer
  /// than the version in force; the outcome of the rest is unknown, unless a
  /// change that includes it is still to be recorded.
  void settle(bool durable, uint64_t version_in_force);

  /// Drops all changes, with an unknown outcome.
  void clear();

private:
  struct Waiter {
    uint64_t Version = 0;
    OnStatus Done;
  };

  /// The version being recorded; 0 if there is none.
  uint64_t Recording = 0;
  std::optional<jobs::FleetConfig> Next;
  std::vector<Waiter> Waiters;
};

} // namespace almondgate::dispatch

#endif
