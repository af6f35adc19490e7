#ifndef ALMONDGATE_DISPATCH_LEASE_TERMS_HPP
#define ALMONDGATE_DISPATCH_LEASE_TERMS_HPP

#include "almondgate/core/time_ms.hpp"

#include <cstdint>

namespace almondgate::dispatch {

/// What holds for the lease of any endpoint.
struct LeaseTerms {
  /// How much an endpoint's clock may lose against the local clock.
  static constexpr int64_t MaxClockLagPercent = 2;
  /// Added to a lease before its expiry is acted on.
  static constexpr core::DurationMs SafetyMargin{150};

  /// Longest lease that an endpoint accepts, whatever is requested.
  core::DurationMs Longest{6000};
  /// The longest that an endpoint takes to end its runs once their lease has
  /// expired.
  core::DurationMs RunEnd{1000};

  bool operator==(const LeaseTerms &) const = default;

  /// From the expiry of a lease to when its runs have ended at the latest.
  core::DurationMs endAllowance() const { return SafetyMargin + RunEnd; }

  /// The latest time by the local clock at which a lease of unknown length
  /// expires that began at `began`.
  core::TimeMs latestExpiry(core::TimeMs began) const;

  /// The latest time at which the runs of such a lease have ended.
  core::TimeMs latestEnd(core::TimeMs began) const {
    return latestExpiry(began) + RunEnd;
  }
};

} // namespace almondgate::dispatch

#endif
