#ifndef ALMONDGATE_CONSENSUS_MESSAGE_HPP
#define ALMONDGATE_CONSENSUS_MESSAGE_HPP

#include "almondgate/consensus/log_entry.hpp"
#include "almondgate/consensus/snapshot.hpp"

#include <vector>

namespace almondgate::consensus {

/// What a message between members asks or answers.
enum class MessageKind {
  PreVote,
  PreVoteReply,
  RequestVote,
  RequestVoteReply,
  Append,
  AppendReply,
  InstallSnapshot,
  /// The leader asks the receiver to stand for election at once.
  TimeoutNow,
};

/// A message between members.
struct Message {
  MessageKind Kind = MessageKind::Append;
  MemberId From;
  MemberId To;
  /// Where the sender is reached; a joining member knows no membership yet.
  core::Address Inner;
  uint64_t Term = 0;
  /// Append: the entry before Entries. Replies: the last matching entry, or
  /// after a refusal the last that could match. Votes: the last of the log.
  uint64_t LogIndex = 0;
  uint64_t LogTerm = 0;
  uint64_t Commit = 0;
  std::vector<LogEntry> Entries;
  /// Replies: yes or no. RequestVote: true where the leader asked for it.
  bool Granted = false;
  /// Append: the leader's clock in milliseconds; a reply gives it back.
  int64_t Sent = 0;
  Snapshot Image;

  bool operator==(const Message &) const = default;
};

} // namespace almondgate::consensus

#endif
