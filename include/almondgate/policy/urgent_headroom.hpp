#ifndef ALMONDGATE_POLICY_URGENT_HEADROOM_HPP
#define ALMONDGATE_POLICY_URGENT_HEADROOM_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <functional>

namespace almondgate::policy {

/// Load of a pool, as input for the headroom.
struct PoolLoad {
  core::TimeMs Now;
  int64_t UrgentRunning = 0;
  core::DurationMs MeanUrgentRun{1000};
  int64_t BatchRunning = 0;
  core::DurationMs MeanBatchRun{1000};
  int64_t Slots = 0;

  bool operator==(const PoolLoad &) const = default;
};

/// Tracks the peak of the arrival rate of urgent requests, which decays over
/// time.
class UrgentHeadroom {
public:
  UrgentHeadroom() = default;

  /// The headroom after the arrival of an urgent request.
  UrgentHeadroom withArrival(core::TimeMs now) const;

  /// Number of slots to withhold from batch work, so that urgent work can rise
  /// at once to its recent peak or by three standard deviations, whichever is
  /// more. Slots that batch work frees within a second need not be withheld. At
  /// most half of the slots are withheld.
  int64_t slots(const PoolLoad &load) const;

  bool operator==(const UrgentHeadroom &) const = default;

private:
  double peakAt(core::TimeMs now) const;

  /// Arrivals per millisecond.
  double Rate = 0;
  double Peak = 0;
  core::TimeMs PeakAt;
};

/// Computes the number of slots to withhold from batch work.
using HeadroomPolicy =
    std::function<int64_t(const UrgentHeadroom &, const PoolLoad &)>;

/// Headroom that follows the urgent demand; see UrgentHeadroom::slots().
int64_t adaptiveHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load);

} // namespace almondgate::policy

#endif
