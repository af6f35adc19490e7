#ifndef ALMONDGATE_CORE_TIME_MS_HPP
#define ALMONDGATE_CORE_TIME_MS_HPP

#include "almondgate/core/duration_ms.hpp"

#include <functional>

namespace almondgate::core {

/// A time on a monotonic clock, in milliseconds since an arbitrary origin.
/// Times of different processes can't be compared.
struct TimeMs {
  int64_t Count = 0;

  auto operator<=>(const TimeMs &) const = default;
};

constexpr TimeMs operator+(TimeMs t, DurationMs d) {
  return {t.Count + d.Count};
}

constexpr TimeMs operator-(TimeMs t, DurationMs d) {
  return {t.Count - d.Count};
}

constexpr DurationMs operator-(TimeMs a, TimeMs b) {
  return {a.Count - b.Count};
}

/// Returns the current time; tests pass a virtual clock.
using Clock = std::function<TimeMs()>;

/// Reads the monotonic clock of the VM, which also counts suspended time.
TimeMs monotonicNow();

/// Reads the wall clock: milliseconds since 1970, for records shown to people.
int64_t wallClockMs();

} // namespace almondgate::core

#endif
