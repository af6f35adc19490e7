#ifndef ALMONDGATE_DISPATCH_FENCE_COUNTER_HPP
#define ALMONDGATE_DISPATCH_FENCE_COUNTER_HPP

#include <cstdint>

namespace almondgate::dispatch {

/// Gives out the fencing tokens of one leader's orders to endpoints. An
/// endpoint does nothing for an order with a lower token than it has seen, so
/// that each incarnation, once it has been called, ignores late orders for
/// earlier ones.
class FenceCounter {
public:
  /// Tokens of a later epoch are above all tokens of an earlier one.
  void begin(uint64_t epoch) { Last = epoch * TokensPerEpoch; }

  /// A token above all that were given out before.
  uint64_t next() { return ++Last; }

private:
  // JSON numbers are exact up to 2^53, which leaves room for 2^29 epochs.
  static constexpr uint64_t TokensPerEpoch = uint64_t{1} << 24;

  uint64_t Last = 0;
};

} // namespace almondgate::dispatch

#endif
