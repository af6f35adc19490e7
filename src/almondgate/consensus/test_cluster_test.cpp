#include "test_cluster.hpp"

namespace almondgate::consensus {

namespace {

std::string encodeMembers(const Membership &membership) {
  std::string out;
  for (const auto &member : membership.Members)
    out += member.Id.str() + (member.Voter ? "+" : "-") + ";";
  return out;
}

Membership decodeMembers(const std::string &text) {
  Membership out;
  size_t at = 0;
  while (at < text.size()) {
    const size_t end = text.find(';', at);
    const std::string item = text.substr(at, end - at);
    out.Members.push_back(
        {MemberId(item.substr(0, item.size() - 1)), {}, item.back() == '+'});
    at = end + 1;
  }
  return out;
}

} // namespace

TestCluster::TestCluster(uint64_t seed, int members, FaultOptions faults,
                         NodeOptions options)
    : Options(std::move(options)), Faults(faults), Generator(seed) {
  Membership first;
  for (int i = 0; i < members; ++i)
    first.Members.push_back({MemberId("m" + std::to_string(i)), {}, true});
  for (const auto &member : first.Members) {
    Members[member.Id].Synced.Base.Voters = first;
    start(member.Id);
  }
}

int64_t TestCluster::random(int64_t limit) {
  return int64_t(Generator() % uint64_t(limit));
}

std::vector<MemberId> TestCluster::ids() const {
  std::vector<MemberId> out;
  for (const auto &[id, member] : Members)
    out.push_back(id);
  return out;
}

void TestCluster::start(const MemberId &id) {
  NodeOptions options = Options;
  options.Self = id;
  NodeHooks hooks;
  hooks.Now = [this] { return core::TimeMs{NowMs}; };
  hooks.Random = [this](int64_t limit) { return random(limit); };
  hooks.EncodeMembership = encodeMembers;
  hooks.DecodeMembership = decodeMembers;
  auto &member = Members[id];
  member.Applied.clear();
  member.Running = std::make_unique<Node>(options, hooks, member.Synced);
}

MemberId TestCluster::addJoiner() {
  MemberId id("j" + std::to_string(JoinerCount++));
  start(id);
  return id;
}

void TestCluster::crash(const MemberId &id) {
  auto &member = Members.at(id);
  member.Running.reset();
  member.Writing.reset();
  member.AfterSync.clear();
}

void TestCluster::restart(const MemberId &id) {
  if (!isUp(id))
    start(id);
}

void TestCluster::pause(const MemberId &id, int64_t ms) {
  Members.at(id).PausedUntil = NowMs + ms;
}

void TestCluster::blockLink(const MemberId &a, const MemberId &b) {
  BlockedLinks.emplace(a, b);
}

bool TestCluster::isBlocked(const MemberId &a, const MemberId &b) const {
  return BlockedLinks.contains({a, b});
}

void TestCluster::send(const Message &message) {
  const int copies = random(100) < Faults.DuplicatePercent ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (random(100) < Faults.DropPercent || isBlocked(message.From, message.To))
      continue;
    Network.emplace(NowMs + 1 + random(Faults.MaxDelayMs), message);
  }
}

void TestCluster::deliver() {
  while (!Network.empty() && Network.begin()->first <= NowMs) {
    const Message message = Network.begin()->second;
    Network.erase(Network.begin());
    const auto it = Members.find(message.To);
    if (it == Members.end() || !it->second.Running)
      continue;
    if (it->second.PausedUntil > NowMs) {
      // A paused process receives its messages when it resumes.
      Network.emplace(it->second.PausedUntil, message);
      continue;
    }
    it->second.Running->receive(message);
    runEffects(message.To);
  }
}

void TestCluster::finishWrite(const MemberId &id) {
  auto &member = Members.at(id);
  const DurableBatch batch = std::move(*member.Writing);
  member.Writing.reset();
  DurableState &disk = member.Synced;
  if (!Faults.LosesSyncedWrites) {
    if (batch.Voted)
      disk.Voted = *batch.Voted;
    if (batch.Base) {
      disk.Base = *batch.Base;
      disk.Entries.clear();
    }
    disk.Commit = std::max(disk.Commit, batch.Commit);
    if (batch.ReplaceFrom) {
      while (!disk.Entries.empty() &&
             disk.Entries.back().Index >= *batch.ReplaceFrom)
        disk.Entries.pop_back();
      for (const auto &entry : batch.Entries)
        disk.Entries.push_back(entry);
    }
  }
  for (const auto &message : std::exchange(member.AfterSync, {}))
    send(message);
  member.Running->onPersisted();
  runEffects(id);
}

void TestCluster::applyEntry(const MemberId &id, const LogEntry &entry) {
  const auto [it, first] = CommittedEntries.emplace(entry.Index, entry);
  if (!first && it->second != entry)
    recordViolation("two different entries committed at index " +
                    std::to_string(entry.Index));
  Members.at(id).Applied.push_back(entry);
}

void TestCluster::runEffects(const MemberId &id) {
  auto &member = Members.at(id);
  while (true) {
    Effects effects = member.Running->takeEffects();
    if (effects == Effects{})
      break;
    for (const auto &message : effects.Immediate)
      send(message);
    if (effects.Restore)
      member.Applied.clear();
    for (const auto &entry : effects.Committed)
      applyEntry(id, entry);
    if (effects.Batch.empty()) {
      for (const auto &message : effects.AfterSync)
        send(message);
      continue;
    }
    member.Writing = std::move(effects.Batch);
    member.AfterSync = std::move(effects.AfterSync);
    member.WriteDoneAt = NowMs + 1 + random(8);
  }
  if (!member.Running->isReady())
    return;
  for (auto it = member.Applied.rbegin(); it != member.Applied.rend(); ++it)
    if (it->Kind == EntryKind::Command &&
        !Acknowledged.emplace(it->Index, it->Data).second)
      break;
}

void TestCluster::recordViolation(const std::string &what) {
  Violations.push_back("at " + std::to_string(NowMs) + " ms: " + what);
}

void TestCluster::check() {
  for (const auto &[id, member] : Members) {
    if (!member.Running || member.Running->role() != NodeRole::Leader)
      continue;
    const auto [it, first] = LeaderOfTerm.emplace(member.Running->term(), id);
    if (!first && it->second != id)
      recordViolation("two leaders in term " +
                      std::to_string(member.Running->term()));
    // The log of a ready leader contains all entries acknowledged up to its
    // term. A leader that was replaced but has not received a later term may
    // lack later ones.
    if (!member.Running->isReady() || Acknowledged.empty())
      continue;
    const uint64_t last_term =
        CommittedEntries.at(Acknowledged.rbegin()->first).Term;
    if (member.Running->term() < last_term)
      continue;
    if (member.Running->lastIndex() < Acknowledged.rbegin()->first)
      recordViolation("leader " + id.str() + " of term " +
                      std::to_string(member.Running->term()) +
                      " lacks acknowledged entry " +
                      std::to_string(Acknowledged.rbegin()->first));
  }
}

void TestCluster::step(int64_t ms) {
  for (int64_t i = 0; i < ms; ++i) {
    ++NowMs;
    deliver();
    for (auto &[id, member] : Members) {
      if (!member.Running || member.PausedUntil > NowMs)
        continue;
      if (member.Writing && member.WriteDoneAt <= NowMs)
        finishWrite(id);
      member.Running->tick();
      runEffects(id);
    }
    check();
  }
}

Node *TestCluster::leader() {
  Node *out = nullptr;
  for (auto &[id, member] : Members)
    if (member.Running && member.PausedUntil <= NowMs &&
        member.Running->isReady())
      if (!out || member.Running->term() > out->term())
        out = member.Running.get();
  return out;
}

bool TestCluster::propose(const std::string &data) {
  Node *current = leader();
  if (!current)
    return false;
  const bool accepted = bool(current->propose(data));
  runEffects(current->self());
  return accepted;
}

} // namespace almondgate::consensus
