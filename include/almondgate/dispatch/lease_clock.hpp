#ifndef ALMONDGATE_DISPATCH_LEASE_CLOCK_HPP
#define ALMONDGATE_DISPATCH_LEASE_CLOCK_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <optional>

namespace almondgate::dispatch {

/// Follows one endpoint's clock and the lease given to it, so that a lease is
/// never taken for lapsed too early. All bounds allow for a clock that runs
/// slower than ours by MaxClockLagPercent.
class LeaseClock {
public:
  /// An endpoint's clock may lose this much against ours.
  static constexpr int64_t MaxClockLagPercent = 2;
  /// Added before a lapsed lease is acted on.
  static constexpr core::DurationMs SafetyMargin{150};

  /// The endpoint told its clock in an answer received at `now`.
  void observe(int64_t clock_ms, core::TimeMs now);

  bool isClockKnown() const { return Received.has_value(); }

  /// A deadline by the endpoint's clock that lies `lease` ahead at most, and
  /// notes it as given. Needs isClockKnown().
  int64_t grant(core::TimeMs now, core::DurationMs lease);

  /// The latest deadline given; 0 before the first.
  int64_t granted() const { return Granted; }

  /// Until this time an earlier leader's lease may hold.
  void assumeValidUntil(core::TimeMs until) { AssumedUntil = until; }

  /// False once all that runs there has surely lapsed.
  bool mayBeValid(core::TimeMs now) const;

private:
  int64_t earliestClock(core::TimeMs now) const;

  std::optional<core::TimeMs> Received;
  int64_t ClockMs = 0;
  int64_t Granted = 0;
  core::TimeMs AssumedUntil{INT64_MIN / 2};
};

} // namespace almondgate::dispatch

#endif
