#ifndef ALMONDGATE_PROTOCOL_PEER_SHARE_HPP
#define ALMONDGATE_PROTOCOL_PEER_SHARE_HPP

#include "peer_budget.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace almondgate::protocol {

/// What one peer makes a client or server hold: at most half of each class of
/// the budget, so that a peer that does not read leaves room for the others.
class PeerShare {
public:
  explicit PeerShare(std::shared_ptr<PeerBudget> budget)
      : Budget(std::move(budget)) {}

  /// Reserves `n` more bytes for a body that holds `held` bytes already. A body
  /// that is larger than a share is held while the others use little.
  [[nodiscard]] bool tryReserve(BodyClass kind, size_t held, size_t n) {
    core::ByteBudget &total = Budget->of(kind);
    size_t &used = Used.at(size_t(kind));
    const size_t share = total.limit() / ShareDivisor;
    const bool alone = held + n > share &&
                       total.used() - held <= total.limit() / LittleDivisor;
    if (alone) {
      total.add(n);
    } else if (n > share - std::min(share, used)) {
      Budget->countRefusal();
      return false;
    } else if (!total.tryReserve(n)) {
      return false;
    }
    used += n;
    return true;
  }

  /// Counts bytes that are held in any case.
  void add(BodyClass kind, size_t n) {
    Budget->of(kind).add(n);
    Used.at(size_t(kind)) += n;
  }

  void release(BodyClass kind, size_t n) {
    Budget->of(kind).release(n);
    Used.at(size_t(kind)) -= n;
  }

private:
  static constexpr size_t ShareDivisor = 2;
  static constexpr size_t LittleDivisor = 4;

  std::shared_ptr<PeerBudget> Budget;
  std::array<size_t, 2> Used = {};
};

} // namespace almondgate::protocol

#endif
