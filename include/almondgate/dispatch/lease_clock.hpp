#ifndef ALMONDGATE_DISPATCH_LEASE_CLOCK_HPP
#define ALMONDGATE_DISPATCH_LEASE_CLOCK_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace almondgate::dispatch {

/// Tracks one endpoint's clock and the lease granted to it, so that a lease is
/// never considered expired too early. All bounds allow for an endpoint clock
/// that runs slower than the local one by MaxClockLagPercent.
class LeaseClock {
public:
  /// How much an endpoint's clock may lose against the local clock.
  static constexpr int64_t MaxClockLagPercent = 2;
  /// Added to a lease before its expiry is acted on.
  static constexpr core::DurationMs SafetyMargin{150};
  /// How far the clock of an answer may be behind what is expected, and ahead
  /// of it. No answer takes longer than the latter.
  static constexpr core::DurationMs LowerTolerance{500};
  static constexpr core::DurationMs UpperTolerance{2000};

  /// Records the endpoint's clock, which an answer received at `now` reported.
  void observe(int64_t clock_ms, core::TimeMs now);

  /// Whether the clock of an answer received at `now`, to a call given at
  /// `given`, can be this endpoint's. That of another incarnation starts anew.
  bool matches(int64_t clock_ms, core::TimeMs given, core::TimeMs now) const;

  bool isClockKnown() const { return Received.has_value(); }

  /// Grants a lease and returns its deadline by the endpoint's clock, at most
  /// `lease` ahead. A deadline granted before is never shortened. Requires
  /// isClockKnown().
  int64_t grant(core::TimeMs now, core::DurationMs lease);

  /// The latest deadline granted, by the endpoint's clock; 0 before the first.
  int64_t granted() const { return Granted; }

  /// Until this time, a lease may be valid that was not granted here, but by an
  /// earlier leader or with a deadline by the clock of a former incarnation.
  void assumeValidUntil(core::TimeMs until) { AssumedUntil = until; }
  core::TimeMs assumedUntil() const { return AssumedUntil; }

  /// The latest time by the local clock at which a lease expires that an
  /// endpoint began at `began`.
  static core::TimeMs latestExpiry(core::TimeMs began, core::DurationMs lease);

  /// False once the leases of all runs on the endpoint have certainly expired,
  /// even if its clock is `behind` the one observed.
  bool mayBeValid(core::TimeMs now, core::DurationMs behind = {}) const;

  /// What is known of the lease, for log lines.
  std::string describe(core::TimeMs now) const;

private:
  int64_t earliestClock(core::TimeMs now) const;

  std::optional<core::TimeMs> Received;
  int64_t ClockMs = 0;
  int64_t Granted = 0;
  core::TimeMs AssumedUntil{INT64_MIN / 2};
};

} // namespace almondgate::dispatch

#endif
