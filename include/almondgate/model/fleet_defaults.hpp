#ifndef ALMONDGATE_MODEL_FLEET_DEFAULTS_HPP
#define ALMONDGATE_MODEL_FLEET_DEFAULTS_HPP

#include <cstdint>

namespace almondgate::model {

/// Settings of the whole fleet, in force for a pool that has no exception.
struct FleetDefaults {
  /// Most VMs of a pool that may be out at once, for whatever cause.
  int64_t MaxUnavailablePercent = 20;
  /// Most requests that wait in one pool.
  int64_t MaxWaiting = 2000;
  /// Longest wait for a slot in milliseconds.
  int64_t MaxWaitMs = 30000;
  /// Longest run of a request in milliseconds.
  int64_t MaxRunMs = 60000;

  bool operator==(const FleetDefaults &) const = default;
};

} // namespace almondgate::model

#endif
