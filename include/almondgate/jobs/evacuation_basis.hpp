#ifndef ALMONDGATE_JOBS_EVACUATION_BASIS_HPP
#define ALMONDGATE_JOBS_EVACUATION_BASIS_HPP

#include <cstdint>

namespace almondgate::jobs {

/// Identifies the state of evacuations that a change was decided on. A change
/// with another basis than the leader's current one is refused, so that a
/// delayed duplicate of an old call can't undo a newer one.
struct EvacuationBasis {
  /// Ledger::EvacuationRevision.
  uint64_t Revision = 0;
  /// Epoch of the leader that was asked.
  uint64_t Epoch = 0;
  /// Number of changes that this leader acknowledged without a record, because
  /// they were in effect already.
  uint64_t Confirmations = 0;

  bool operator==(const EvacuationBasis &) const = default;
};

} // namespace almondgate::jobs

#endif
