#ifndef ALMONDGATE_MODEL_FLEET_DEFAULTS_HPP
#define ALMONDGATE_MODEL_FLEET_DEFAULTS_HPP

#include <cstdint>

namespace almondgate::model {

/// Fleet-wide settings, used for every pool without an exception.
struct FleetDefaults {
  /// Maximum percentage of a pool's VMs unavailable at once, for any reason.
  int64_t MaxUnavailablePercent = 20;
  /// Maximum number of requests waiting in one pool.
  int64_t MaxWaiting = 2000;
  /// Maximum wait for a slot, in milliseconds.
  int64_t MaxWaitMs = 30000;
  /// Maximum run time of a request, in milliseconds.
  int64_t MaxRunMs = 60000;

  bool operator==(const FleetDefaults &) const = default;
};

} // namespace almondgate::model

#endif
