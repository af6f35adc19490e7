#ifndef ALMONDGATE_POLICY_URGENT_HEADROOM_HPP
#define ALMONDGATE_POLICY_URGENT_HEADROOM_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>

namespace almondgate::policy {

/// Estimates how many slots to keep from batch work, so that urgent work finds
/// one at once. Follows the urgent arrivals: a peak that fades away.
class UrgentHeadroom {
public:
  UrgentHeadroom() = default;

  UrgentHeadroom withArrival(core::TimeMs now) const;

  /// `running` slots in use, which end after `mean_run` each: the slots that
  /// come free by themselves within a second need not be kept.
  int64_t slots(core::TimeMs now, int64_t running, core::DurationMs mean_run,
                int64_t all_slots) const;

  bool operator==(const UrgentHeadroom &) const = default;

private:
  double peakAt(core::TimeMs now) const;

  core::TimeMs BucketStart;
  int64_t InBucket = 0;
  double Peak = 0;
  core::TimeMs PeakAt;
};

} // namespace almondgate::policy

#endif
