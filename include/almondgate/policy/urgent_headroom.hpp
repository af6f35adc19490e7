#ifndef ALMONDGATE_POLICY_URGENT_HEADROOM_HPP
#define ALMONDGATE_POLICY_URGENT_HEADROOM_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <functional>

namespace almondgate::policy {

/// A pool's occupation, for a headroom.
struct PoolLoad {
  core::TimeMs Now;
  /// Urgent requests that run or wait.
  int64_t UrgentDemand = 0;
  int64_t BatchRunning = 0;
  core::DurationMs MeanBatchRun{1000};
  int64_t Slots = 0;

  bool operator==(const PoolLoad &) const = default;
};

/// Remembers the peak of the urgent demand, which fades away.
class UrgentHeadroom {
public:
  UrgentHeadroom() = default;

  UrgentHeadroom withDemand(core::TimeMs now, int64_t demand) const;

  /// Slots to keep from batch work, so that urgent work may rise to its recent
  /// peak at once. Slots that come free by themselves within a second need not
  /// be kept.
  int64_t slots(const PoolLoad &load) const;

  bool operator==(const UrgentHeadroom &) const = default;

private:
  double peakAt(core::TimeMs now) const;

  double Peak = 0;
  core::TimeMs PeakAt;
};

/// How many slots to keep from batch work now.
using HeadroomSlots =
    std::function<int64_t(const UrgentHeadroom &, const PoolLoad &)>;

/// The headroom that follows the urgent demand.
int64_t followingHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load);

} // namespace almondgate::policy

#endif
