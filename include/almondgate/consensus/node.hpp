#ifndef ALMONDGATE_CONSENSUS_NODE_HPP
#define ALMONDGATE_CONSENSUS_NODE_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/consensus/log.hpp"
#include "almondgate/consensus/node_hooks.hpp"
#include "almondgate/consensus/node_options.hpp"
#include "almondgate/consensus/progress.hpp"
#include "almondgate/core/result.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondgate::consensus {

/// A member's role in its current term.
enum class NodeRole { Follower, Candidate, Leader };

/// One Raft member, without sockets, files or threads: the caller calls tick()
/// and receive(), and carries out the Effects that takeEffects() returns.
/// Source: Ongaro and Ousterhout, In Search of an Understandable Consensus
/// Algorithm, 2014; pre-vote and leadership transfer from Ongaro's thesis.
class Node {
public:
  Node(NodeOptions options, NodeHooks hooks, DurableState state);

  /// Handles timeouts and heartbeats; call every few milliseconds.
  void tick();

  void receive(const Message &message);

  /// Appends a command and returns its index. Errors: NotLeader.
  core::Result<uint64_t> propose(std::string data);

  /// Appends a new membership and returns its index. Errors: NotLeader,
  /// Conflict while an earlier change is not committed, InvalidArgument if more
  /// than one voter changes.
  core::Result<uint64_t> changeMembership(const Membership &next);

  /// Requests that the other voter with the highest Progress::Match start an
  /// election. Errors: NotLeader, Unavailable if there is no other voter.
  core::Status transferLeadership();

  /// Replaces the log up to `index`, which has been applied, by a snapshot with
  /// the encoded state `data`.
  void compact(uint64_t index, std::string data);

  /// Returns the pending effects. Contains a batch only if none is in flight.
  Effects takeEffects();

  /// Call when the last batch is on disk.
  void onPersisted();

  NodeRole role() const { return Role; }
  uint64_t term() const { return Voted.Term; }
  uint64_t commitIndex() const { return CommitIndex; }
  uint64_t lastIndex() const { return Entries.lastIndex(); }
  /// Bytes of the data of the log entries in memory.
  size_t logBytes() const { return Entries.dataBytes(); }
  /// The last snapshot, which stays in memory for members that lag.
  const Snapshot &snapshot() const { return Base; }
  /// Empty if no leader is known.
  const MemberId &leader() const { return Leader; }
  const Membership &membership() const { return Memberships.back().second; }
  const MemberId &self() const { return Options.Self; }

  /// True for a leader that has committed an entry of its own term: its commit
  /// index then covers all entries that earlier leaders committed.
  bool isReady() const;

  /// The latest time at which a quorum is known to have accepted this leader.
  core::TimeMs confirmedAt() const;

  /// The leader's replication state of another member; null if there is none.
  const Progress *progressOf(const MemberId &id) const;

private:
  // election.cpp
  void becomeFollower(uint64_t term, const MemberId &leader);
  void becomeLeader();
  void startPreVote();
  void startElection(bool forced);
  void requestVotes(MessageKind kind, uint64_t term, bool forced);
  void onPreVote(const Message &message);
  void onRequestVote(const Message &message);
  void onVoteReply(const Message &message);
  void onTimeoutNow(const Message &message);
  bool logIsUpToDate(const Message &message) const;
  bool heardFromLeaderRecently() const;
  void resetElectionDeadline();
  /// Sets the election deadline to a short retry delay.
  void resetPreVoteDeadline();
  /// True if this member's candidacy takes precedence over the sender's.
  bool hasPrecedenceOver(const Message &message) const;
  void setTerm(uint64_t term, const MemberId &voted_for);

  // replication.cpp
  void appendEntry(EntryKind kind, std::string data);
  void broadcast();
  void sendAppend(const MemberId &to, bool heartbeat);
  bool awaitsSnapshotReply(const Progress &progress) const;
  bool maySendSnapshot(const Progress &progress) const;
  void sendSnapshot(const MemberId &to);
  void followLeader(const Message &message);
  void onAppend(const Message &message);
  void onAppendReply(const Message &message);
  void onInstallSnapshot(const Message &message);
  void storeEntries(const Message &message);
  void advanceCommit();
  /// Marks the entries from `index` on as not yet on disk.
  void markUnwritten(uint64_t index);
  void removeMembershipsFrom(uint64_t index);
  void recordMembership(const LogEntry &entry);
  /// Adds and removes Peers to match the membership.
  void syncProgress();
  Message reply(const Message &to, MessageKind kind, bool granted) const;

  const NodeOptions Options;
  const NodeHooks Hooks;

  NodeRole Role = NodeRole::Follower;
  MemberId Leader;
  Vote Voted;
  Snapshot Base;
  Log Entries;
  /// Memberships by the index of their entry; the last one is in effect.
  std::vector<std::pair<uint64_t, Membership>> Memberships;
  uint64_t CommitIndex = 0;
  /// Entries up to here have been returned in Effects::Committed.
  uint64_t DeliveredIndex = 0;
  /// Entries up to here are on this member's disk.
  uint64_t DurableIndex = 0;

  /// When a leader was last heard, of this term or an earlier one: its lease
  /// may last although a higher term is known. Empty if none has been heard.
  std::optional<core::TimeMs> LastLeaderContact;
  /// The disk held a term, so the member has been part of the group before.
  const bool Restarted;
  const core::TimeMs StartedAt;
  core::TimeMs ElectionDeadline;
  core::TimeMs HeartbeatDue;
  core::TimeMs LeaderSince;
  bool PreVoting = false;
  std::set<MemberId> Votes;
  std::map<MemberId, Progress> Peers;

  // What the next batch must contain.
  bool VoteUnwritten = false;
  bool BaseUnwritten = false;
  std::optional<uint64_t> UnwrittenFrom;
  std::optional<Snapshot> PendingRestore;
  std::vector<Message> ImmediateMessages;
  /// Messages to send only after the next batch is on disk.
  std::vector<Message> DeferredMessages;
  bool BatchInFlight = false;
  /// The last index of the log when the batch in flight was taken.
  uint64_t BatchLastIndex = 0;
};

} // namespace almondgate::consensus

#endif
