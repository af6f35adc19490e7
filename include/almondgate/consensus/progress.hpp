#ifndef ALMONDGATE_CONSENSUS_PROGRESS_HPP
#define ALMONDGATE_CONSENSUS_PROGRESS_HPP

#include <cstddef>
#include <cstdint>

namespace almondgate::consensus {

/// A leader's replication state of another member.
struct Progress {
  /// The highest index known to be on the member's disk.
  uint64_t Match = 0;
  /// The index of the next entry to send.
  uint64_t Next = 1;
  /// Number of unanswered append messages.
  size_t Inflight = 0;
  /// The leader's clock, in milliseconds, when it sent the latest message that
  /// the member has answered.
  int64_t LastAnsweredSentMs = INT64_MIN;
  /// The leader's clock, in milliseconds, when a rejection last made it send
  /// entries again. Rejections of earlier messages tell nothing new.
  int64_t SentAgainMs = INT64_MIN;
  /// The leader's clock, in milliseconds, when it sent a snapshot that is not
  /// yet answered; INT64_MIN if there is none.
  int64_t SnapshotSentMs = INT64_MIN;

  bool operator==(const Progress &) const = default;
};

} // namespace almondgate::consensus

#endif
