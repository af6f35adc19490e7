#ifndef ALMONDGATE_DISPATCH_ORDER_BUDGET_HPP
#define ALMONDGATE_DISPATCH_ORDER_BUDGET_HPP

#include "almondgate/core/byte_budget.hpp"

namespace almondgate::dispatch {

/// Counts the bytes of orders that wait to be sent or answered. Starts may not
/// use up a part of the budget that is reserved for stops.
class OrderBudget {
public:
  /// What a waiting order takes up apart from its body: the call, its callbacks
  /// and the place in a queue.
  static constexpr size_t OrderBytes = 1024;

  explicit OrderBudget(size_t limit) : Bytes(limit) {}

  /// Whether `n` more starts fit. Starts that must be given together are also
  /// allowed if nothing else waits, so that a budget below their size can't
  /// hold them back for good.
  bool hasRoomForStarts(size_t n) const {
    return Bytes.used() == 0 || fits(n, Bytes.limit() / Fraction * StartParts);
  }
  bool hasRoomForStop() const { return fits(1, Bytes.limit()); }

  void add(size_t n) { Bytes.add(n); }
  void release(size_t n) { Bytes.release(n); }

  const core::ByteBudget &bytes() const { return Bytes; }

private:
  bool fits(size_t n, size_t limit) const {
    return Bytes.used() <= limit && n <= (limit - Bytes.used()) / OrderBytes;
  }

  static constexpr size_t Fraction = 4;
  static constexpr size_t StartParts = 3;

  core::ByteBudget Bytes;
};

} // namespace almondgate::dispatch

#endif
