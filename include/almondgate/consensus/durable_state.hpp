#ifndef ALMONDGATE_CONSENSUS_DURABLE_STATE_HPP
#define ALMONDGATE_CONSENSUS_DURABLE_STATE_HPP

#include "almondgate/consensus/log_entry.hpp"
#include "almondgate/consensus/snapshot.hpp"
#include "almondgate/consensus/vote.hpp"

#include <vector>

namespace almondgate::consensus {

/// What a member finds on its disk when it starts.
struct DurableState {
  Vote Voted;
  Snapshot Base;
  /// The entries after Base, without a gap.
  std::vector<LogEntry> Entries;
  /// Entries up to here were known to be committed; there may be more.
  uint64_t Commit = 0;

  bool operator==(const DurableState &) const = default;
};

} // namespace almondgate::consensus

#endif
