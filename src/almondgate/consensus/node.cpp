#include "almondgate/consensus/node.hpp"
#include "almondgate/core/invariant.hpp"

#include <algorithm>

namespace almondgate::consensus {

using core::Error;
using core::ErrorCode;

namespace {

// The first election deadline is spread over a fifth of the election timeout
// (0.1 s of 0.5 s). That is enough for members that start together, because
// pre-votes decide which of them goes first.
constexpr int64_t FirstDeadlineSpreadDivisor = 5;

} // namespace

Node::Node(NodeOptions options, NodeHooks hooks, DurableState state)
    : Options(std::move(options)), Hooks(std::move(hooks)), Voted(state.Voted),
      Base(std::move(state.Base)), Entries(Base, std::move(state.Entries)),
      Restarted(state.Voted.Term > 0), StartedAt(Hooks.Now()) {
  Memberships.emplace_back(Base.Index, Base.Voters);
  for (uint64_t i = Base.Index + 1; i <= Entries.lastIndex(); ++i)
    recordMembership(Entries.at(i));
  DurableIndex = Entries.lastIndex();
  CommitIndex = std::clamp(state.Commit, Base.Index, DurableIndex);
  DeliveredIndex = Base.Index;
  resetElectionDeadline();
  // When all members have just started there is no leader to disturb, so the
  // first deadline needs no wide spread.
  const int64_t spread =
      Options.ElectionTimeout.Count / FirstDeadlineSpreadDivisor;
  ElectionDeadline = StartedAt + Options.ElectionTimeout +
                     core::DurationMs{Hooks.Random(spread + 1)};
}

void Node::tick() {
  const auto now = Hooks.Now();
  if (Role == NodeRole::Leader) {
    const auto last_confirmed = std::max(confirmedAt(), LeaderSince);
    if (now - last_confirmed > Options.ElectionTimeout * 2) {
      becomeFollower(Voted.Term, MemberId());
      return;
    }
    if (now >= HeartbeatDue) {
      HeartbeatDue = now + Options.HeartbeatInterval;
      for (const auto &[id, progress] : Peers)
        sendAppend(id, true);
    }
    return;
  }
  if (now < ElectionDeadline)
    return;
  resetElectionDeadline();
  if (!isVoter(membership(), Options.Self))
    return;
  if (Options.UsePreVote)
    startPreVote();
  else
    startElection(false);
}

void Node::receive(const Message &message) {
  switch (message.Kind) {
  case MessageKind::PreVote:
    return onPreVote(message);
  case MessageKind::RequestVote:
    return onRequestVote(message);
  case MessageKind::PreVoteReply:
  case MessageKind::RequestVoteReply:
    return onVoteReply(message);
  case MessageKind::Append:
    return onAppend(message);
  case MessageKind::AppendReply:
    return onAppendReply(message);
  case MessageKind::InstallSnapshot:
    return onInstallSnapshot(message);
  case MessageKind::TimeoutNow:
    return onTimeoutNow(message);
  }
}

core::Result<uint64_t> Node::propose(std::string data) {
  if (Role != NodeRole::Leader)
    return Error{ErrorCode::NotLeader, "this member is not the leader"};
  appendEntry(EntryKind::Command, std::move(data));
  broadcast();
  return Entries.lastIndex();
}

core::Result<uint64_t> Node::changeMembership(const Membership &next) {
  if (Role != NodeRole::Leader || !isReady())
    return Error{ErrorCode::NotLeader, "this member is not the leader"};
  if (Memberships.back().first > CommitIndex)
    return Error{ErrorCode::Conflict,
                 "the membership change at index " +
                     std::to_string(Memberships.back().first) +
                     " is not committed yet"};
  if (!isSingleVoterChange(membership(), next))
    return Error{ErrorCode::InvalidArgument,
                 "a membership change may add or remove only one voter"};
  appendEntry(EntryKind::Membership, Hooks.EncodeMembership(next));
  broadcast();
  return Entries.lastIndex();
}

core::Status Node::transferLeadership() {
  if (Role != NodeRole::Leader)
    return Error{ErrorCode::NotLeader, "this member is not the leader"};
  const MemberId *best = nullptr;
  uint64_t match = 0;
  for (const auto &[id, progress] : Peers) {
    if (!isVoter(membership(), id) || progress.Match < match)
      continue;
    best = &id;
    match = progress.Match;
  }
  if (!best)
    return Error{ErrorCode::Unavailable,
                 "no other voter to transfer leadership to"};
  Message message;
  message.Kind = MessageKind::TimeoutNow;
  message.From = Options.Self;
  message.To = *best;
  message.Term = Voted.Term;
  ImmediateMessages.push_back(std::move(message));
  return core::ok();
}

void Node::compact(uint64_t index, std::string data) {
  core::invariant(index <= DeliveredIndex,
                  "snapshot of entries that are not applied");
  if (index <= Base.Index)
    return;
  Membership at_index = Memberships.front().second;
  for (const auto &[from, members] : Memberships)
    if (from <= index)
      at_index = members;
  Base = {index, Entries.termAt(index), at_index, std::move(data)};
  BaseUnwritten = true;
  const uint64_t keep = Options.EntriesKeptBehindSnapshot;
  const uint64_t first =
      Entries.firstWithin(index, Options.BytesKeptBehindSnapshot);
  Entries.compactTo(std::max(index > keep ? index - keep : 0, first - 1));
  while (Memberships.size() > 1 && Memberships[1].first <= index)
    Memberships.erase(Memberships.begin());
}

Effects Node::takeEffects() {
  Effects out;
  out.Immediate = std::exchange(ImmediateMessages, {});
  out.Restore = std::exchange(PendingRestore, std::nullopt);
  if (!BatchInFlight) {
    out.AfterSync = std::exchange(DeferredMessages, {});
    if (std::exchange(VoteUnwritten, false))
      out.Batch.Voted = Voted;
    if (std::exchange(BaseUnwritten, false)) {
      out.Batch.Base = Base;
      UnwrittenFrom = Base.Index + 1;
    }
    if (UnwrittenFrom) {
      out.Batch.ReplaceFrom = *UnwrittenFrom;
      out.Batch.Entries =
          Entries.slice(*UnwrittenFrom, Entries.lastIndex(), SIZE_MAX);
      UnwrittenFrom.reset();
    }
    BatchInFlight = !out.Batch.empty();
    out.Batch.Commit = BatchInFlight ? CommitIndex : 0;
    BatchLastIndex = Entries.lastIndex();
  }
  out.Committed = Entries.slice(DeliveredIndex + 1, CommitIndex, SIZE_MAX);
  DeliveredIndex = CommitIndex;
  return out;
}

void Node::onPersisted() {
  core::invariant(BatchInFlight, "no batch is in flight");
  BatchInFlight = false;
  DurableIndex = UnwrittenFrom ? std::min(BatchLastIndex, *UnwrittenFrom - 1)
                               : BatchLastIndex;
  if (Role == NodeRole::Leader)
    advanceCommit();
}

bool Node::isReady() const {
  return Role == NodeRole::Leader && Entries.covers(CommitIndex) &&
         Entries.termAt(CommitIndex) == Voted.Term;
}

core::TimeMs Node::confirmedAt() const {
  if (Role != NodeRole::Leader)
    return {INT64_MIN / 2};
  std::vector<int64_t> times;
  for (const auto &member : membership().Members) {
    if (!member.Voter)
      continue;
    if (member.Id == Options.Self) {
      times.push_back(Hooks.Now().Count);
      continue;
    }
    const auto *progress = progressOf(member.Id);
    times.push_back(progress ? progress->LastAnsweredSentMs : INT64_MIN / 2);
  }
  std::sort(times.rbegin(), times.rend());
  const size_t quorum = quorumSize(membership());
  const int64_t at = times.size() < quorum ? INT64_MIN / 2 : times[quorum - 1];
  return {std::max(at, INT64_MIN / 2)};
}

const Progress *Node::progressOf(const MemberId &id) const {
  const auto it = Peers.find(id);
  return it == Peers.end() ? nullptr : &it->second;
}

} // namespace almondgate::consensus
