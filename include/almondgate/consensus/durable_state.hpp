#ifndef ALMONDGATE_CONSENSUS_DURABLE_STATE_HPP
#define ALMONDGATE_CONSENSUS_DURABLE_STATE_HPP

#include "almondgate/consensus/log_entry.hpp"
#include "almondgate/consensus/snapshot.hpp"
#include "almondgate/consensus/vote.hpp"

#include <vector>

namespace almondgate::consensus {

/// The state that a member reads from its disk at start.
struct DurableState {
  Vote Voted;
  Snapshot Base;
  /// The entries after Base, without gaps.
  std::vector<LogEntry> Entries;
  /// The highest index known to be committed; later entries may be committed
  /// too.
  uint64_t Commit = 0;

  bool operator==(const DurableState &) const = default;
};

} // namespace almondgate::consensus

#endif
