#ifndef ALMONDGATE_CORE_DURATION_MS_HPP
#define ALMONDGATE_CORE_DURATION_MS_HPP

#include <compare>
#include <cstdint>

namespace almondgate::core {

/// A span of time in milliseconds.
struct DurationMs {
  int64_t Count = 0;

  auto operator<=>(const DurationMs &) const = default;
};

constexpr DurationMs operator+(DurationMs a, DurationMs b) {
  return {a.Count + b.Count};
}

constexpr DurationMs operator-(DurationMs a, DurationMs b) {
  return {a.Count - b.Count};
}

constexpr DurationMs operator*(DurationMs a, int64_t n) {
  return {a.Count * n};
}

constexpr DurationMs operator/(DurationMs a, int64_t n) {
  return {a.Count / n};
}

} // namespace almondgate::core

#endif
