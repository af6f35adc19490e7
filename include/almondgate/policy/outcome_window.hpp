#ifndef ALMONDGATE_POLICY_OUTCOME_WINDOW_HPP
#define ALMONDGATE_POLICY_OUTCOME_WINDOW_HPP

#include "almondgate/core/time_ms.hpp"

#include <array>
#include <cstdint>

namespace almondgate::policy {

/// Counts successes and failures over the last ten seconds, in buckets of one
/// second. Unlike fixed windows, a sliding window detects failures that fall
/// across the boundary of two windows. Source: zeusi/ganesha-apcu-adapter,
/// "Sliding vs tumbling time window"; compared with alternatives in
/// docs/MEASUREMENTS.md.
class OutcomeWindow {
public:
  OutcomeWindow() = default;

  /// The window with one more outcome.
  OutcomeWindow withOutcome(core::TimeMs now, bool success) const;

  /// Number of outcomes in the window that ends now.
  int64_t count(core::TimeMs now) const;
  /// Number of failures in the window that ends now.
  int64_t failures(core::TimeMs now) const;

  bool operator==(const OutcomeWindow &) const = default;

private:
  static constexpr int64_t Buckets = 10;

  struct Bucket {
    int64_t Second = -1;
    int64_t Successes = 0;
    int64_t Failures = 0;

    bool operator==(const Bucket &) const = default;
  };

  std::array<Bucket, Buckets> Ring;
};

} // namespace almondgate::policy

#endif
