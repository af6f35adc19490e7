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

TestCluster::TestCluster(uint64_t seed, int members, Roughness rough,
                         NodeOptions options)
    : Options(std::move(options)), Rough(rough), Dice(seed) {
  Membership first;
  for (int i = 0; i < members; ++i)
    first.Members.push_back({MemberId("m" + std::to_string(i)), {}, true});
  for (const auto &member : first.Members) {
    Members[member.Id].Synced.Base.Voters = first;
    start(member.Id);
  }
}

int64_t TestCluster::random(int64_t limit) {
  return int64_t(Dice() % uint64_t(limit));
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
  member.Live = std::make_unique<Node>(options, hooks, member.Synced);
}

MemberId TestCluster::addJoiner() {
  MemberId id("j" + std::to_string(NextJoiner++));
  start(id);
  return id;
}

void TestCluster::crash(const MemberId &id) {
  auto &member = Members.at(id);
  member.Live.reset();
  member.Writing.reset();
  member.AfterSync.clear();
}

void TestCluster::restart(const MemberId &id) {
  if (!isUp(id))
    start(id);
}

void TestCluster::stall(const MemberId &id, int64_t ms) {
  Members.at(id).StalledUntil = NowMs + ms;
}

void TestCluster::cut(const MemberId &a, const MemberId &b) {
  Cuts.emplace(a, b);
}

bool TestCluster::isCut(const MemberId &a, const MemberId &b) const {
  return Cuts.contains({a, b});
}

void TestCluster::send(const Message &message) {
  const int copies = random(100) < Rough.DuplicatePercent ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (random(100) < Rough.DropPercent || isCut(message.From, message.To))
      continue;
    Net.emplace(NowMs + 1 + random(Rough.MaxDelayMs), message);
  }
}

void TestCluster::deliver() {
  while (!Net.empty() && Net.begin()->first <= NowMs) {
    const Message message = Net.begin()->second;
    Net.erase(Net.begin());
    const auto it = Members.find(message.To);
    if (it == Members.end() || !it->second.Live)
      continue;
    if (it->second.StalledUntil > NowMs) {
      // A frozen process finds its messages when it wakes.
      Net.emplace(it->second.StalledUntil, message);
      continue;
    }
    it->second.Live->receive(message);
    runEffects(message.To);
  }
}

void TestCluster::finishWrite(const MemberId &id) {
  auto &member = Members.at(id);
  const DurableBatch batch = std::move(*member.Writing);
  member.Writing.reset();
  DurableState &disk = member.Synced;
  if (!Rough.ForgetfulDisk) {
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
  member.Live->onPersisted();
  runEffects(id);
}

void TestCluster::applyEntry(const MemberId &id, const LogEntry &entry) {
  const auto [it, first] = CommittedAt.emplace(entry.Index, entry);
  if (!first && it->second != entry)
    broken("two entries committed at " + std::to_string(entry.Index));
  Members.at(id).Applied.push_back(entry);
}

void TestCluster::runEffects(const MemberId &id) {
  auto &member = Members.at(id);
  while (true) {
    Effects effects = member.Live->takeEffects();
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
  if (!member.Live->isReady())
    return;
  for (auto it = member.Applied.rbegin(); it != member.Applied.rend(); ++it)
    if (it->Kind == EntryKind::Command &&
        !Acknowledged.emplace(it->Index, it->Data).second)
      break;
}

void TestCluster::broken(const std::string &what) {
  Broken.push_back("at " + std::to_string(NowMs) + ": " + what);
}

void TestCluster::check() {
  for (const auto &[id, member] : Members) {
    if (!member.Live || member.Live->role() != NodeRole::Leader)
      continue;
    const auto [it, first] = LeaderOfTerm.emplace(member.Live->term(), id);
    if (!first && it->second != id)
      broken("two leaders in term " + std::to_string(member.Live->term()));
    // A ready leader's log holds all that was acknowledged up to its term; a
    // deposed one that has not noticed may lack what came later.
    if (!member.Live->isReady() || Acknowledged.empty())
      continue;
    const uint64_t last_term =
        CommittedAt.at(Acknowledged.rbegin()->first).Term;
    if (member.Live->term() < last_term)
      continue;
    if (member.Live->lastIndex() < Acknowledged.rbegin()->first)
      broken("an acknowledged entry is lost");
  }
}

void TestCluster::step(int64_t ms) {
  for (int64_t i = 0; i < ms; ++i) {
    ++NowMs;
    deliver();
    for (auto &[id, member] : Members) {
      if (!member.Live || member.StalledUntil > NowMs)
        continue;
      if (member.Writing && member.WriteDoneAt <= NowMs)
        finishWrite(id);
      member.Live->tick();
      runEffects(id);
    }
    check();
  }
}

Node *TestCluster::leader() {
  Node *out = nullptr;
  for (auto &[id, member] : Members)
    if (member.Live && member.StalledUntil <= NowMs && member.Live->isReady())
      if (!out || member.Live->term() > out->term())
        out = member.Live.get();
  return out;
}

bool TestCluster::propose(const std::string &data) {
  Node *now = leader();
  if (!now)
    return false;
  const bool taken = bool(now->propose(data));
  runEffects(now->self());
  return taken;
}

} // namespace almondgate::consensus
