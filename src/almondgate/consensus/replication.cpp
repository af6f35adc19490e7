#include "almondgate/consensus/node.hpp"
#include "almondgate/core/invariant.hpp"

#include <algorithm>

namespace almondgate::consensus {

namespace {

// A snapshot is sent again if it is not answered within this many election
// timeouts.
constexpr int64_t SnapshotTimeoutFactor = 4;
constexpr size_t LargeSnapshotBytes = size_t{1} << 20;

} // namespace

void Node::markUnwritten(uint64_t index) {
  UnwrittenFrom = UnwrittenFrom ? std::min(*UnwrittenFrom, index) : index;
  DurableIndex = std::min(DurableIndex, index - 1);
}

void Node::recordMembership(const LogEntry &entry) {
  if (entry.Kind != EntryKind::Membership)
    return;
  Memberships.emplace_back(entry.Index, Hooks.DecodeMembership(entry.Data));
  if (Role == NodeRole::Leader)
    syncProgress();
}

void Node::removeMembershipsFrom(uint64_t index) {
  while (Memberships.size() > 1 && Memberships.back().first >= index)
    Memberships.pop_back();
}

void Node::syncProgress() {
  for (const auto &member : membership().Members)
    if (member.Id != Options.Self)
      Peers.try_emplace(member.Id, Progress{.Next = Entries.lastIndex() + 1});
  std::erase_if(Peers, [&](const auto &row) {
    return !findMember(membership(), row.first);
  });
}

void Node::appendEntry(EntryKind kind, std::string data) {
  const uint64_t index = Entries.lastIndex() + 1;
  Entries.append({Voted.Term, index, kind, std::move(data)});
  markUnwritten(index);
  recordMembership(Entries.at(index));
}

void Node::broadcast() {
  for (const auto &[id, progress] : Peers)
    sendAppend(id, false);
}

bool Node::awaitsSnapshotReply(const Progress &progress) const {
  return progress.SnapshotSentMs != INT64_MIN &&
         Hooks.Now().Count - progress.SnapshotSentMs <
             Options.ElectionTimeout.Count * SnapshotTimeoutFactor;
}

// Large snapshots are sent to one member at a time: each is copied and encoded.
// A member that did not answer in time yields to the others that need one.
bool Node::maySendSnapshot(const Progress &progress) const {
  if (awaitsSnapshotReply(progress))
    return false;
  if (Base.Data->size() < LargeSnapshotBytes)
    return true;
  return std::none_of(Peers.begin(), Peers.end(), [&](const auto &row) {
    const Progress &other = row.second;
    const bool goes_first = !Entries.covers(other.Next - 1) &&
                            other.SnapshotSentMs < progress.SnapshotSentMs;
    return goes_first || awaitsSnapshotReply(other);
  });
}

void Node::sendSnapshot(const MemberId &to) {
  Progress &progress = Peers.at(to);
  if (!maySendSnapshot(progress))
    return;
  const int64_t now = Hooks.Now().Count;
  progress.SnapshotSentMs = now;
  Message message;
  message.Kind = MessageKind::InstallSnapshot;
  message.From = Options.Self;
  message.To = to;
  message.Term = Voted.Term;
  message.Sent = now;
  message.Image = Base;
  ImmediateMessages.push_back(std::move(message));
}

void Node::sendAppend(const MemberId &to, bool heartbeat) {
  Progress &progress = Peers.at(to);
  if (!Entries.covers(progress.Next - 1)) {
    sendSnapshot(to);
    return;
  }
  const bool has_capacity = progress.Inflight < Options.MaxInflight;
  const bool has_entries = progress.Next <= Entries.lastIndex();
  if (!heartbeat && !(has_capacity && has_entries))
    return;
  Message message;
  message.Kind = MessageKind::Append;
  message.From = Options.Self;
  message.To = to;
  message.Term = Voted.Term;
  message.LogIndex = progress.Next - 1;
  message.LogTerm = Entries.termAt(progress.Next - 1);
  message.Commit = CommitIndex;
  message.Sent = Hooks.Now().Count;
  if (has_capacity && has_entries) {
    message.Entries = Entries.slice(progress.Next, Entries.lastIndex(),
                                    Options.MaxAppendBytes);
    progress.Next += message.Entries.size();
  }
  ++progress.Inflight;
  ImmediateMessages.push_back(std::move(message));
}

void Node::followLeader(const Message &message) {
  becomeFollower(message.Term, message.From);
  LastLeaderContact = Hooks.Now();
  resetElectionDeadline();
}

void Node::onAppend(const Message &message) {
  if (message.Term < Voted.Term) {
    DeferredMessages.push_back(reply(message, MessageKind::AppendReply, false));
    return;
  }
  followLeader(message);
  Message answer = reply(message, MessageKind::AppendReply, false);
  const uint64_t before = message.LogIndex;
  const bool compacted = before < Entries.baseIndex();
  const bool matches =
      Entries.covers(before) && Entries.termAt(before) == message.LogTerm;
  if (compacted || !matches) {
    // Request entries from the last index that may match: the commit index if
    // the log is compacted beyond `before`, else `before` - 1, and at most the
    // end of this log.
    const uint64_t candidate = compacted ? CommitIndex : before - 1;
    answer.LogIndex = std::min(Entries.lastIndex(), candidate);
    DeferredMessages.push_back(std::move(answer));
    return;
  }
  storeEntries(message);
  const uint64_t last = before + message.Entries.size();
  CommitIndex = std::max(CommitIndex, std::min(message.Commit, last));
  answer.Granted = true;
  answer.LogIndex = last;
  DeferredMessages.push_back(std::move(answer));
}

void Node::storeEntries(const Message &message) {
  for (const auto &entry : message.Entries) {
    if (Entries.covers(entry.Index)) {
      if (Entries.termAt(entry.Index) == entry.Term)
        continue;
      core::invariant(entry.Index > CommitIndex,
                      "append would replace a committed entry");
      Entries.truncateFrom(entry.Index);
      removeMembershipsFrom(entry.Index);
    }
    Entries.append(entry);
    markUnwritten(entry.Index);
    recordMembership(entry);
  }
}

void Node::onAppendReply(const Message &message) {
  if (message.Term > Voted.Term) {
    becomeFollower(message.Term, MemberId());
    return;
  }
  const auto it = Peers.find(message.From);
  if (Role != NodeRole::Leader || message.Term != Voted.Term ||
      it == Peers.end())
    return;
  Progress &progress = it->second;
  progress.LastAnsweredSentMs =
      std::max(progress.LastAnsweredSentMs, message.Sent);
  if (!message.Granted && message.Sent < progress.SentAgainMs)
    return;
  progress.Inflight -= progress.Inflight > 0 ? 1 : 0;
  if (!message.Granted) {
    progress.SentAgainMs = Hooks.Now().Count;
    progress.Next = std::max(progress.Match, message.LogIndex) + 1;
    progress.Inflight = 0;
    sendAppend(message.From, false);
    return;
  }
  progress.SnapshotSentMs = INT64_MIN;
  progress.Match = std::max(progress.Match, message.LogIndex);
  progress.Next = std::max(progress.Next, progress.Match + 1);
  // The member has every entry that was sent, so nothing is in flight. The
  // reset also corrects the count after a lost reply.
  if (progress.Match + 1 == progress.Next)
    progress.Inflight = 0;
  advanceCommit();
  if (Role == NodeRole::Leader && Peers.contains(message.From))
    sendAppend(message.From, false);
}

void Node::onInstallSnapshot(const Message &message) {
  if (message.Term < Voted.Term) {
    DeferredMessages.push_back(reply(message, MessageKind::AppendReply, false));
    return;
  }
  followLeader(message);
  Message answer = reply(message, MessageKind::AppendReply, true);
  if (message.Image.Index <= CommitIndex) {
    answer.LogIndex = CommitIndex;
    DeferredMessages.push_back(std::move(answer));
    return;
  }
  const bool has_entry =
      Entries.covers(message.Image.Index) &&
      Entries.termAt(message.Image.Index) == message.Image.Term;
  if (has_entry) {
    // Keep the log: later entries may already have been acknowledged.
    CommitIndex = message.Image.Index;
    answer.LogIndex = CommitIndex;
    DeferredMessages.push_back(std::move(answer));
    return;
  }
  Base = message.Image;
  Entries.reset(Base.Index, Base.Term);
  Memberships = {{Base.Index, Base.Voters}};
  CommitIndex = Base.Index;
  DeliveredIndex = Base.Index;
  PendingRestore = Base;
  BaseUnwritten = true;
  UnwrittenFrom = Base.Index + 1;
  DurableIndex = Base.Index;
  answer.LogIndex = Base.Index;
  DeferredMessages.push_back(std::move(answer));
}

void Node::advanceCommit() {
  std::vector<uint64_t> matches;
  for (const auto &member : membership().Members) {
    if (!member.Voter)
      continue;
    const auto *progress = progressOf(member.Id);
    const bool self = member.Id == Options.Self;
    matches.push_back(self ? DurableIndex : (progress ? progress->Match : 0));
  }
  std::sort(matches.rbegin(), matches.rend());
  const size_t quorum = quorumSize(membership());
  if (matches.size() < quorum)
    return;
  const uint64_t index = matches[quorum - 1];
  if (index <= CommitIndex || Entries.termAt(index) != Voted.Term)
    return;
  CommitIndex = index;
  if (!findMember(membership(), Options.Self) &&
      Memberships.back().first <= CommitIndex)
    becomeFollower(Voted.Term, MemberId());
}

} // namespace almondgate::consensus
