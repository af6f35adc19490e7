#ifndef ALMONDGATE_CONSENSUS_EFFECTS_HPP
#define ALMONDGATE_CONSENSUS_EFFECTS_HPP

#include "almondgate/consensus/durable_state.hpp"
#include "almondgate/consensus/message.hpp"

#include <optional>
#include <vector>

namespace almondgate::consensus {

/// State that must be on disk before the messages in Effects::AfterSync are
/// sent.
struct DurableBatch {
  std::optional<Vote> Voted;
  /// A snapshot that replaces the log up to its index.
  std::optional<Snapshot> Base;
  /// If set, the log is truncated before this index, and Entries are appended.
  std::optional<uint64_t> ReplaceFrom;
  std::vector<LogEntry> Entries;
  /// The highest index known to be committed. Written only along with other
  /// changes: empty() ignores it.
  uint64_t Commit = 0;

  bool empty() const { return !Voted && !Base && !ReplaceFrom; }
  bool operator==(const DurableBatch &) const = default;
};

/// The actions that a Node requests of its caller.
struct Effects {
  /// To be written and synced. Then send AfterSync and call
  /// Node::onPersisted().
  DurableBatch Batch;
  std::vector<Message> AfterSync;
  /// To be sent without waiting for Batch.
  std::vector<Message> Immediate;
  /// Replaces the replicated state, before Committed is applied.
  std::optional<Snapshot> Restore;
  /// Newly committed entries, to be applied in order.
  std::vector<LogEntry> Committed;

  bool operator==(const Effects &) const = default;
};

} // namespace almondgate::consensus

#endif
