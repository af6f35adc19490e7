#ifndef ALMONDGATE_CORE_SIZE_HPP
#define ALMONDGATE_CORE_SIZE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>

namespace almondgate::core {

/// An amount of each resource: what a VM has or what a request takes.
struct Size {
  int64_t Slots = 0;
  int64_t MilliCpus = 0;
  int64_t MemoryMb = 0;
  int64_t Accelerators = 0;

  bool operator==(const Size &) const = default;
};

/// Adds each resource.
constexpr Size operator+(const Size &a, const Size &b) {
  return {a.Slots + b.Slots, a.MilliCpus + b.MilliCpus, a.MemoryMb + b.MemoryMb,
          a.Accelerators + b.Accelerators};
}

/// Subtracts each resource; may fall below zero.
constexpr Size operator-(const Size &a, const Size &b) {
  return {a.Slots - b.Slots, a.MilliCpus - b.MilliCpus, a.MemoryMb - b.MemoryMb,
          a.Accelerators - b.Accelerators};
}

/// The smaller amount of each resource.
constexpr Size smaller(const Size &a, const Size &b) {
  return {std::min(a.Slots, b.Slots), std::min(a.MilliCpus, b.MilliCpus),
          std::min(a.MemoryMb, b.MemoryMb),
          std::min(a.Accelerators, b.Accelerators)};
}

/// The larger amount of each resource.
constexpr Size larger(const Size &a, const Size &b) {
  return {std::max(a.Slots, b.Slots), std::max(a.MilliCpus, b.MilliCpus),
          std::max(a.MemoryMb, b.MemoryMb),
          std::max(a.Accelerators, b.Accelerators)};
}

/// Tells whether each resource of `need` is at most that of `room`.
constexpr bool fits(const Size &need, const Size &room) {
  return need.Slots <= room.Slots && need.MilliCpus <= room.MilliCpus &&
         need.MemoryMb <= room.MemoryMb &&
         need.Accelerators <= room.Accelerators;
}

/// The largest fraction that `part` takes of any resource of `whole`.
/// Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
double dominantFraction(const Size &part, const Size &whole);

} // namespace almondgate::core

#endif
