#ifndef ALMONDGATE_CONSENSUS_MESSAGE_HPP
#define ALMONDGATE_CONSENSUS_MESSAGE_HPP

#include "almondgate/consensus/log_entry.hpp"
#include "almondgate/consensus/snapshot.hpp"

#include <vector>

namespace almondgate::consensus {

/// The type of a message between members.
enum class MessageKind {
  PreVote,
  PreVoteReply,
  RequestVote,
  RequestVoteReply,
  Append,
  AppendReply,
  InstallSnapshot,
  /// Sent by the leader; the receiver starts an election at once.
  TimeoutNow,
};

/// A message between members.
struct Message {
  MessageKind Kind = MessageKind::Append;
  MemberId From;
  MemberId To;
  /// The sender's address, for a joining member, which has no membership yet.
  core::Address Inner;
  uint64_t Term = 0;
  /// Append: index of the entry before Entries. AppendReply: the last matching
  /// index, or after a rejection the last index that may match. Vote requests:
  /// the last index of the candidate's log.
  uint64_t LogIndex = 0;
  uint64_t LogTerm = 0;
  uint64_t Commit = 0;
  std::vector<LogEntry> Entries;
  /// Replies: whether the request is granted. RequestVote: true if the leader
  /// requested the election.
  bool Granted = false;
  /// Requests of the leader: its clock in milliseconds. Replies return it
  /// unchanged.
  int64_t Sent = 0;
  /// InstallSnapshot: the snapshot to install.
  Snapshot Image;

  bool operator==(const Message &) const = default;
};

} // namespace almondgate::consensus

#endif
