#ifndef ALMONDGATE_CONSENSUS_SNAPSHOT_HPP
#define ALMONDGATE_CONSENSUS_SNAPSHOT_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/value.hpp"

#include <cstdint>
#include <string>

namespace almondgate::consensus {

/// The replicated state after the entry at Index was applied.
struct Snapshot {
  uint64_t Index = 0;
  uint64_t Term = 0;
  /// The membership at Index, learners included.
  Membership Voters;
  /// The encoded state. Shared: a snapshot is in the log, in a batch for the
  /// disk and in messages at the same time.
  core::Value<std::string> Data;

  bool operator==(const Snapshot &) const = default;
};

} // namespace almondgate::consensus

#endif
