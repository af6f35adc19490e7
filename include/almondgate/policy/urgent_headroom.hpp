#ifndef ALMONDGATE_POLICY_URGENT_HEADROOM_HPP
#define ALMONDGATE_POLICY_URGENT_HEADROOM_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <functional>

namespace almondgate::policy {

class UrgentHeadroom;

/// A pool's occupation, for a headroom.
struct PoolLoad {
  core::TimeMs Now;
  int64_t Running = 0;
  core::DurationMs MeanRun{1000};
  int64_t Slots = 0;

  bool operator==(const PoolLoad &) const = default;
};

/// How many slots to keep from batch work now.
using HeadroomSlots =
    std::function<int64_t(const UrgentHeadroom &, const PoolLoad &)>;

/// Estimates how many slots to keep from batch work, so that urgent work finds
/// one at once. Follows the urgent arrivals: a peak that fades away.
class UrgentHeadroom {
public:
  UrgentHeadroom() = default;

  UrgentHeadroom withArrival(core::TimeMs now) const;

  /// The slots that come free by themselves within a second need not be kept.
  int64_t slots(const PoolLoad &load) const;

  bool operator==(const UrgentHeadroom &) const = default;

private:
  double peakAt(core::TimeMs now) const;

  core::TimeMs BucketStart;
  int64_t InBucket = 0;
  double Peak = 0;
  core::TimeMs PeakAt;
};

/// The headroom that follows the urgent demand.
int64_t followingHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load);

} // namespace almondgate::policy

#endif
