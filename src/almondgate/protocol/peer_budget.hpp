#ifndef ALMONDGATE_PROTOCOL_PEER_BUDGET_HPP
#define ALMONDGATE_PROTOCOL_PEER_BUDGET_HPP

#include "almondgate/core/budget_reading.hpp"

#include <cstddef>

namespace almondgate::protocol {

/// The two classes of bodies. A part of the budget is kept for Urgent ones, so
/// that large bodies never delay leases and heartbeats.
enum class BodyClass { Urgent, Bulk };

/// What all peers of one client or server together make it hold.
class PeerBudget {
public:
  explicit PeerBudget(size_t limit)
      : Urgent(limit / UrgentDivisor), Bulk(limit - limit / UrgentDivisor) {}

  core::ByteBudget &of(BodyClass kind) {
    return kind == BodyClass::Urgent ? Urgent : Bulk;
  }

  /// Counts a body that was refused although there was room.
  void countRefusal() { ++OverShare; }

  core::BudgetReading read(const std::string &name) const {
    return {name, Urgent.used() + Bulk.used(), Urgent.peak() + Bulk.peak(),
            Urgent.limit() + Bulk.limit(),
            Urgent.refused() + Bulk.refused() + OverShare};
  }

private:
  static constexpr size_t UrgentDivisor = 4;

  core::ByteBudget Urgent;
  core::ByteBudget Bulk;
  uint64_t OverShare = 0;
};

} // namespace almondgate::protocol

#endif
