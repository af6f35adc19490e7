#ifndef ALMONDGATE_CONSENSUS_NODE_OPTIONS_HPP
#define ALMONDGATE_CONSENSUS_NODE_OPTIONS_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/duration_ms.hpp"

#include <cstddef>
#include <cstdint>

namespace almondgate::consensus {

/// Settings of a member.
struct NodeOptions {
  MemberId Self;
  core::DurationMs HeartbeatInterval{100};
  /// The shortest wait for a leader; the longest is twice this.
  core::DurationMs ElectionTimeout{500};
  /// Bytes of entries in one message.
  size_t MaxAppendBytes = size_t{256} * 1024;
  /// Append messages to one member that may be unanswered.
  size_t MaxInflight = 16;
  /// Entries kept in memory behind a snapshot, for members that lag.
  uint64_t EntriesKeptBehindSnapshot = 2000;
  /// Ask for votes before standing for election. For measurements only.
  bool UsePreVote = true;

  bool operator==(const NodeOptions &) const = default;
};

} // namespace almondgate::consensus

#endif
