#ifndef ALMONDGATE_DISPATCH_LEASE_CLOCK_HPP
#define ALMONDGATE_DISPATCH_LEASE_CLOCK_HPP

#include "almondgate/dispatch/lease_terms.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace almondgate::dispatch {

/// Tracks one endpoint's clock and the lease granted to it, so that its runs
/// are never considered over too early. All bounds allow for an endpoint clock
/// that runs slower than the local one by LeaseTerms::MaxClockLagPercent.
class LeaseClock {
public:
  /// How far the clock of an answer may be behind what is expected, and ahead
  /// of it. No answer takes longer than the latter.
  static constexpr core::DurationMs LowerTolerance{500};
  static constexpr core::DurationMs UpperTolerance{2000};

  explicit LeaseClock(const LeaseTerms &terms = {}) : Terms(terms) {}

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

  /// Until this time, the endpoint may hold runs whose lease was not granted
  /// here, but by an earlier leader or with a deadline by the clock of a former
  /// incarnation.
  void assumeRunsUntil(core::TimeMs until) { AssumedUntil = until; }

  /// False once all runs on the endpoint have certainly ended with their
  /// leases, even if its clock is `behind` the one observed.
  bool mayHoldRuns(core::TimeMs now, core::DurationMs behind = {}) const;

  /// What is known of the lease, for log lines.
  std::string describe(core::TimeMs now) const;

private:
  int64_t earliestClock(core::TimeMs now) const;

  LeaseTerms Terms;
  std::optional<core::TimeMs> Received;
  int64_t ClockMs = 0;
  int64_t Granted = 0;
  core::TimeMs AssumedUntil{INT64_MIN / 2};
};

} // namespace almondgate::dispatch

#endif
