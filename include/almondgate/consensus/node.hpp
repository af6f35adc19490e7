#ifndef ALMONDGATE_CONSENSUS_NODE_HPP
#define ALMONDGATE_CONSENSUS_NODE_HPP

#include "almondgate/consensus/effects.hpp"
#include "almondgate/consensus/log.hpp"
#include "almondgate/consensus/node_hooks.hpp"
#include "almondgate/consensus/node_options.hpp"
#include "almondgate/consensus/progress.hpp"
#include "almondgate/core/result.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondgate::consensus {

/// What a member is in its term.
enum class NodeRole { Follower, Candidate, Leader };

/// One member of the replicated log, without sockets, files or threads: the
/// caller feeds it time and messages, and carries out the Effects it gives.
/// Source: Ongaro and Ousterhout, In Search of an Understandable Consensus
/// Algorithm, 2014; pre-vote and leadership transfer from Ongaro's thesis.
class Node {
public:
  Node(NodeOptions options, NodeHooks hooks, const DurableState &state);

  /// Looks at the clock; call every few milliseconds.
  void tick();

  void receive(const Message &message);

  /// Appends a command and gives its index. Errors: NotLeader.
  core::Result<uint64_t> propose(std::string data);

  /// Appends a new membership. Errors: NotLeader, Conflict while another change
  /// is open, InvalidArgument for more than one step.
  core::Result<uint64_t> changeMembership(const Membership &next);

  /// Asks the voter with the longest log to take over. Errors: NotLeader,
  /// Unavailable where there is no other voter.
  core::Status transferLeadership();

  /// Replaces the log up to `index`, which has been applied, by a snapshot.
  void compact(uint64_t index, std::string data);

  /// What is to be done. Holds a batch only when none is being written.
  Effects takeEffects();

  /// The last batch taken is on disk.
  void onPersisted();

  NodeRole role() const { return Role; }
  uint64_t term() const { return Voted.Term; }
  uint64_t commitIndex() const { return Commit; }
  uint64_t lastIndex() const { return Entries.lastIndex(); }
  /// Empty while no leader is known.
  const MemberId &leader() const { return Leader; }
  const Membership &membership() const { return Memberships.back().second; }
  const MemberId &self() const { return Options.Self; }

  /// True for a leader that has committed an entry of its own term, so that its
  /// commit index covers all that earlier leaders committed.
  bool isReady() const;

  /// The latest time at which a quorum is known to have followed this leader.
  core::TimeMs confirmedAt() const;

  /// What a leader knows of another member; null where it knows nothing.
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
  bool heardLeaderLately() const;
  void resetElectionDeadline();
  void resetPreVoteDeadline();
  bool standsBefore(const Message &message) const;
  void setTerm(uint64_t term, const MemberId &voted_for);

  // replication.cpp
  void appendOwn(EntryKind kind, std::string data);
  void broadcast();
  void sendAppend(const MemberId &to, bool heartbeat);
  void sendSnapshot(const MemberId &to);
  void followLeader(const Message &message);
  void onAppend(const Message &message);
  void onAppendReply(const Message &message);
  void onInstallSnapshot(const Message &message);
  void storeEntries(const Message &message);
  void advanceCommit();
  void markChanged(uint64_t index);
  void dropMembershipsFrom(uint64_t index);
  void noteMembership(const LogEntry &entry);
  void syncProgress();
  Message reply(const Message &to, MessageKind kind, bool granted) const;

  const NodeOptions Options;
  const NodeHooks Hooks;

  NodeRole Role = NodeRole::Follower;
  MemberId Leader;
  Vote Voted;
  Snapshot Base;
  Log Entries;
  std::vector<std::pair<uint64_t, Membership>> Memberships;
  uint64_t Commit = 0;
  uint64_t Delivered = 0;
  uint64_t Durable = 0;

  core::TimeMs HeardLeader;
  /// The disk held a vote: the member has been part of the group before.
  const bool Restarted;
  const core::TimeMs StartedAt;
  core::TimeMs ElectionDeadline;
  core::TimeMs HeartbeatDue;
  core::TimeMs LeaderSince;
  bool PreVoting = false;
  std::set<MemberId> Votes;
  std::map<MemberId, Progress> Peers;

  bool VoteChanged = false;
  bool BaseChanged = false;
  std::optional<uint64_t> ChangedFrom;
  std::optional<Snapshot> ToRestore;
  std::vector<Message> Immediate;
  std::vector<Message> Deferred;
  bool Writing = false;
  uint64_t WritingLast = 0;
};

} // namespace almondgate::consensus

#endif
