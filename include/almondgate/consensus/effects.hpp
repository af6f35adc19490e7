#ifndef ALMONDGATE_CONSENSUS_EFFECTS_HPP
#define ALMONDGATE_CONSENSUS_EFFECTS_HPP

#include "almondgate/consensus/durable_state.hpp"
#include "almondgate/consensus/message.hpp"

#include <optional>
#include <vector>

namespace almondgate::consensus {

/// What must be on disk before the messages that wait for it may leave.
struct DurableBatch {
  std::optional<Vote> Voted;
  /// Replaces the log up to its index.
  std::optional<Snapshot> Base;
  /// Where set, the log ends before this index and goes on with Entries.
  std::optional<uint64_t> ReplaceFrom;
  std::vector<LogEntry> Entries;
  /// What was known to be committed; written along with the rest only.
  uint64_t Commit = 0;

  bool empty() const { return !Voted && !Base && !ReplaceFrom; }
  bool operator==(const DurableBatch &) const = default;
};

/// What a member wants done since the last call.
struct Effects {
  /// Write and sync; then send AfterSync and call Node::onPersisted().
  DurableBatch Batch;
  std::vector<Message> AfterSync;
  std::vector<Message> Immediate;
  /// Replace the replicated state by this one, before Committed is applied.
  std::optional<Snapshot> Restore;
  /// Apply in order.
  std::vector<LogEntry> Committed;

  bool operator==(const Effects &) const = default;
};

} // namespace almondgate::consensus

#endif
