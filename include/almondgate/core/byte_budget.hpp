#ifndef ALMONDGATE_CORE_BYTE_BUDGET_HPP
#define ALMONDGATE_CORE_BYTE_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace almondgate::core {

/// Counts the bytes that one task holds for others against a limit. Owned by
/// that task; not safe for use by several threads.
class ByteBudget {
public:
  explicit ByteBudget(size_t limit) : Limit(limit) {}

  /// Adds bytes to the used ones; returns false and counts a refusal if the
  /// limit would be exceeded.
  [[nodiscard]] bool tryReserve(size_t n) {
    if (n > Limit - std::min(Limit, Used)) {
      ++Refused;
      return false;
    }
    add(n);
    return true;
  }

  /// Adds bytes that are held already, also above the limit.
  void add(size_t n) {
    Used += n;
    Peak = std::max(Peak, Used);
  }

  /// Returns bytes of an earlier reservation.
  void release(size_t n) { Used -= std::min(n, Used); }

  /// Counts a refusal that was decided without tryReserve().
  void countRefusal() { ++Refused; }

  size_t limit() const { return Limit; }
  size_t used() const { return Used; }
  size_t peak() const { return Peak; }
  /// Number of reservations that were refused.
  uint64_t refused() const { return Refused; }
  bool exceeded() const { return Used > Limit; }

private:
  size_t Limit;
  size_t Used = 0;
  size_t Peak = 0;
  uint64_t Refused = 0;
};

} // namespace almondgate::core

#endif
