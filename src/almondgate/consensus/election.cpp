#include "almondgate/consensus/node.hpp"

namespace almondgate::consensus {

namespace {

// A pre-vote is repeated after a fifth of the election timeout at the earliest:
// a member that rejected it because it had just started, or had recently heard
// from a leader, may grant it by then.
constexpr int64_t PreVotesPerTimeout = 5;

} // namespace

void Node::setTerm(uint64_t term, const MemberId &voted_for) {
  if (Voted.Term == term && Voted.For == voted_for)
    return;
  Voted = {term, voted_for};
  VoteUnwritten = true;
}

void Node::resetElectionDeadline() {
  const int64_t spread = Options.ElectionTimeout.Count;
  const core::DurationMs wait{spread + Hooks.Random(spread + 1)};
  ElectionDeadline = Hooks.Now() + wait;
}

// A pre-vote changes no term, so it may be repeated after a short delay.
void Node::resetPreVoteDeadline() {
  const int64_t retry = Options.ElectionTimeout.Count / PreVotesPerTimeout;
  ElectionDeadline =
      Hooks.Now() + core::DurationMs{retry + Hooks.Random(retry + 1)};
}

bool Node::heardFromLeaderRecently() const {
  if (Role == NodeRole::Leader)
    return true;
  // A member that has restarted may have heard from a leader just before it
  // stopped.
  const auto now = Hooks.Now();
  if (Restarted && now - StartedAt < Options.ElectionTimeout)
    return true;
  return LastLeaderContact &&
         now - *LastLeaderContact < Options.ElectionTimeout;
}

bool Node::logIsUpToDate(const Message &message) const {
  if (message.LogTerm != Entries.lastTerm())
    return message.LogTerm > Entries.lastTerm();
  return message.LogIndex >= Entries.lastIndex();
}

void Node::becomeFollower(uint64_t term, const MemberId &leader) {
  const bool was_leader = Role == NodeRole::Leader;
  Role = NodeRole::Follower;
  PreVoting = false;
  Votes.clear();
  Leader = leader;
  if (term > Voted.Term)
    setTerm(term, MemberId());
  if (was_leader)
    resetElectionDeadline();
}

void Node::becomeLeader() {
  Role = NodeRole::Leader;
  Leader = Options.Self;
  LeaderSince = Hooks.Now();
  HeartbeatDue = Hooks.Now();
  PreVoting = false;
  Votes.clear();
  Peers.clear();
  syncProgress();
  appendEntry(EntryKind::Empty, {});
  broadcast();
}

void Node::startPreVote() {
  Role = NodeRole::Candidate;
  Leader = MemberId();
  PreVoting = true;
  Votes = {Options.Self};
  if (Votes.size() >= quorumSize(membership())) {
    startElection(false);
    return;
  }
  resetPreVoteDeadline();
  requestVotes(MessageKind::PreVote, Voted.Term + 1, false);
}

void Node::startElection(bool forced) {
  resetElectionDeadline();
  Role = NodeRole::Candidate;
  Leader = MemberId();
  PreVoting = false;
  setTerm(Voted.Term + 1, Options.Self);
  Votes = {Options.Self};
  if (Votes.size() >= quorumSize(membership())) {
    becomeLeader();
    return;
  }
  requestVotes(MessageKind::RequestVote, Voted.Term, forced);
}

void Node::requestVotes(MessageKind kind, uint64_t term, bool forced) {
  for (const auto &member : membership().Members) {
    if (member.Id == Options.Self || !member.Voter)
      continue;
    Message message;
    message.Kind = kind;
    message.From = Options.Self;
    message.To = member.Id;
    message.Term = term;
    message.LogIndex = Entries.lastIndex();
    message.LogTerm = Entries.lastTerm();
    message.Granted = forced;
    // This member's own vote must be on disk before it requests votes.
    DeferredMessages.push_back(std::move(message));
  }
}

Message Node::reply(const Message &to, MessageKind kind, bool granted) const {
  Message message;
  message.Kind = kind;
  message.From = Options.Self;
  message.To = to.From;
  message.Term = Voted.Term;
  message.Granted = granted;
  message.Sent = to.Sent;
  return message;
}

// Two members that request pre-votes of each other at the same time would both
// start an election and split the votes. If their logs are equal, the one with
// the smaller id goes first.
bool Node::hasPrecedenceOver(const Message &message) const {
  const bool equal = message.LogTerm == Entries.lastTerm() &&
                     message.LogIndex == Entries.lastIndex();
  return PreVoting && equal && Options.Self < message.From;
}

void Node::onPreVote(const Message &message) {
  const bool granted = message.Term > Voted.Term && logIsUpToDate(message) &&
                       !heardFromLeaderRecently() &&
                       !hasPrecedenceOver(message);
  if (granted) {
    PreVoting = false;
    resetPreVoteDeadline();
  }
  Message answer = reply(message, MessageKind::PreVoteReply, granted);
  if (granted)
    answer.Term = message.Term;
  DeferredMessages.push_back(std::move(answer));
}

void Node::onRequestVote(const Message &message) {
  // A member that still hears from its leader does not vote for another, unless
  // the leader requested the election.
  if (!message.Granted && heardFromLeaderRecently())
    return;
  if (message.Term > Voted.Term)
    becomeFollower(message.Term, MemberId());
  const bool can_vote = Voted.For.empty() || Voted.For == message.From;
  const bool granted = message.Term == Voted.Term && can_vote &&
                       Role == NodeRole::Follower && logIsUpToDate(message);
  if (granted) {
    setTerm(Voted.Term, message.From);
    resetElectionDeadline();
  }
  DeferredMessages.push_back(
      reply(message, MessageKind::RequestVoteReply, granted));
}

void Node::onVoteReply(const Message &message) {
  const bool pre = message.Kind == MessageKind::PreVoteReply;
  if (!message.Granted) {
    if (message.Term > Voted.Term)
      becomeFollower(message.Term, MemberId());
    return;
  }
  const uint64_t requested_term = pre ? Voted.Term + 1 : Voted.Term;
  if (Role != NodeRole::Candidate || PreVoting != pre ||
      message.Term != requested_term)
    return;
  if (!isVoter(membership(), message.From))
    return;
  Votes.insert(message.From);
  if (Votes.size() < quorumSize(membership()))
    return;
  if (pre)
    startElection(false);
  else
    becomeLeader();
}

void Node::onTimeoutNow(const Message &message) {
  if (message.Term != Voted.Term || message.From != Leader)
    return;
  if (isVoter(membership(), Options.Self))
    startElection(true);
}

} // namespace almondgate::consensus
