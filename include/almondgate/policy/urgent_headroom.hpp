#ifndef ALMONDGATE_POLICY_URGENT_HEADROOM_HPP
#define ALMONDGATE_POLICY_URGENT_HEADROOM_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <functional>

namespace almondgate::policy {

/// A pool's occupation, for a headroom.
struct PoolLoad {
  core::TimeMs Now;
  int64_t UrgentRunning = 0;
  core::DurationMs MeanUrgentRun{1000};
  int64_t BatchRunning = 0;
  core::DurationMs MeanBatchRun{1000};
  int64_t Slots = 0;

  bool operator==(const PoolLoad &) const = default;
};

/// Remembers the peak of the rate of urgent arrivals, which fades away.
class UrgentHeadroom {
public:
  UrgentHeadroom() = default;

  UrgentHeadroom withArrival(core::TimeMs now) const;

  /// Slots to keep from batch work, so that urgent work may rise to its recent
  /// peak, or by two standard deviations, at once. Slots that come free by
  /// themselves within a second need not be kept.
  int64_t slots(const PoolLoad &load) const;

  bool operator==(const UrgentHeadroom &) const = default;

private:
  double peakAt(core::TimeMs now) const;

  /// Arrivals a millisecond.
  double Rate = 0;
  double Peak = 0;
  core::TimeMs PeakAt;
};

/// How many slots to keep from batch work now.
using HeadroomPolicy =
    std::function<int64_t(const UrgentHeadroom &, const PoolLoad &)>;

/// The headroom that follows the urgent demand.
int64_t adaptiveHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load);

} // namespace almondgate::policy

#endif
