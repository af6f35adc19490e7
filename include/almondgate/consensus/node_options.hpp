#ifndef ALMONDGATE_CONSENSUS_NODE_OPTIONS_HPP
#define ALMONDGATE_CONSENSUS_NODE_OPTIONS_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/duration_ms.hpp"

#include <cstddef>
#include <cstdint>

namespace almondgate::consensus {

/// Settings of a Node.
struct NodeOptions {
  MemberId Self;
  core::DurationMs HeartbeatInterval{100};
  /// The minimum election timeout; the maximum is twice this.
  core::DurationMs ElectionTimeout{500};
  /// Soft limit on the bytes of entry data in one message: the entry that
  /// reaches it is the last.
  size_t MaxAppendBytes = size_t{256} * 1024;
  /// Limit of unanswered append messages to one member. Beyond it only
  /// heartbeats without entries are sent.
  size_t MaxInflight = 16;
  /// Entries before a snapshot that stay in memory, so that members that lag
  /// can catch up without the snapshot.
  uint64_t EntriesKeptBehindSnapshot = 2000;
  /// Limit of the bytes of these entries' data.
  size_t BytesKeptBehindSnapshot = size_t{4} << 20;
  /// Runs a pre-vote before each election. Disabled only for measurements.
  bool UsePreVote = true;

  bool operator==(const NodeOptions &) const = default;
};

} // namespace almondgate::consensus

#endif
