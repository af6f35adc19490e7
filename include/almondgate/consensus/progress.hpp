#ifndef ALMONDGATE_CONSENSUS_PROGRESS_HPP
#define ALMONDGATE_CONSENSUS_PROGRESS_HPP

#include <cstddef>
#include <cstdint>

namespace almondgate::consensus {

/// What a leader knows of another member.
struct Progress {
  /// The last entry known to be on the member's disk.
  uint64_t Match = 0;
  /// The next entry to send.
  uint64_t Next = 1;
  /// Append messages without an answer.
  size_t Inflight = 0;
  /// The leader's clock in the newest message the member has answered.
  int64_t LastAnsweredSentMs = INT64_MIN;
  /// The leader's clock when a snapshot was sent that has no answer yet.
  int64_t SnapshotSentMs = INT64_MIN;

  bool operator==(const Progress &) const = default;
};

} // namespace almondgate::consensus

#endif
