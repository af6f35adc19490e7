#include "almondgate/storage/store.hpp"

#include "test_disk.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <random>
#include <sstream>

using namespace almondgate;
using namespace almondgate::storage;
using consensus::DurableBatch;
using consensus::DurableState;
using consensus::EntryKind;
using consensus::MemberId;
using core::ErrorCode;

namespace {

const std::string Root = "/mnt";
const std::string Data = "/mnt/fleet/data";
const core::Error Eio{ErrorCode::Io, "input/output error"};

/// Enumerates all sequences of choices, up to a number of them.
class Choices {
public:
  explicit Choices(size_t limit) : Limit(limit) {}

  size_t choose(size_t n) {
    if (At == Path.size())
      Path.push_back({0, n});
    return Path[At++].Chosen;
  }
  /// Goes to the next sequence. Returns false after the last one.
  bool next() {
    At = 0;
    while (!Path.empty() && Path.back().Chosen + 1 == Path.back().Options)
      Path.pop_back();
    if (Path.empty() || ++Count == Limit)
      return false;
    ++Path.back().Chosen;
    return true;
  }

private:
  struct Choice {
    size_t Chosen;
    size_t Options;
  };
  const size_t Limit;
  size_t Count = 0;
  size_t At = 0;
  std::vector<Choice> Path;
};

std::string describe(const DurableState &state) {
  std::ostringstream out;
  out << "vote " << state.Voted.Term << " commit " << state.Commit << " base "
      << state.Base.Index << " entries";
  for (const auto &entry : state.Entries)
    out << " " << entry.Index << "/" << entry.Term;
  return out.str();
}

DurableState applied(DurableState state, const DurableBatch &batch) {
  if (batch.Voted)
    state.Voted = *batch.Voted;
  if (batch.Base) {
    state.Base = *batch.Base;
    state.Entries.clear();
  }
  while (batch.ReplaceFrom && !state.Entries.empty() &&
         state.Entries.back().Index >= *batch.ReplaceFrom)
    state.Entries.pop_back();
  state.Entries.insert(state.Entries.end(), batch.Entries.begin(),
                       batch.Entries.end());
  state.Commit = batch.Commit;
  return state;
}

/// A member on a disk that may fail. Compares what it reads at each start with
/// what it acknowledged before.
class Member {
public:
  Member() {
    auto ops = Disk.ops();
    REQUIRE(bool(ops.CreateFolder("/")));
    REQUIRE(bool(ops.CreateFolder(Root)));
    REQUIRE(bool(ops.SyncFolder("/")));
  }

  /// Opens the folder, and formats it first if it is empty. Returns false if an
  /// operation failed.
  bool start() {
    Open.reset();
    auto opened = Store::open(Data, Disk.ops());
    if (!opened && opened.error().Code == ErrorCode::NotFound) {
      checkNothingAcknowledged();
      if (!Store::format(Data, MemberId("m1"), {}, Disk.ops()))
        return false;
      opened = Store::open(Data, Disk.ops());
    }
    if (!opened) {
      INFO(Disk.trace());
      INFO(opened.error().Text);
      CHECK(opened.error().Code != ErrorCode::Corrupt);
      CHECK(opened.error().Code != ErrorCode::NotFound);
      return false;
    }
    Open = std::move(opened.value());
    checkRecovered(Open->takeRecoveredState());
    return true;
  }

  bool write(const DurableBatch &batch) {
    const auto next = applied(*Certain, batch);
    Possible = next;
    Batch = batch;
    const auto status = Open->write(batch);
    Failed = !status && status.error().Code != ErrorCode::NoSpace;
    if (!status)
      return false;
    Certain = next;
    Possible.reset();
    return true;
  }

  /// Writes the batch that failed last once more.
  bool retry() {
    if (Failed) {
      const auto recovered = Open->recover();
      if (!recovered && !Disk.isKilled()) {
        INFO(Disk.trace());
        INFO(recovered.error().Text);
        CHECK(recovered.error().Code != ErrorCode::Corrupt);
      }
      if (!recovered)
        return false;
    }
    return write(Batch);
  }

  bool append(uint64_t term) {
    DurableBatch batch;
    batch.ReplaceFrom = last() + 1;
    batch.Entries = {{term, last() + 1, EntryKind::Command, "x"}};
    batch.Commit = last();
    return write(batch);
  }
  bool vote() {
    DurableBatch batch;
    batch.Voted = consensus::Vote{Certain->Voted.Term + 1, MemberId("m2")};
    batch.Commit = Certain->Commit;
    return write(batch);
  }
  bool replaceLast() {
    if (Certain->Entries.empty())
      return vote();
    DurableBatch batch;
    batch.ReplaceFrom = last();
    batch.Entries = {
        {Certain->Voted.Term + 1, last(), EntryKind::Command, "yy"}};
    batch.Commit = Certain->Commit;
    return write(batch);
  }
  bool snapshot() {
    if (Certain->Entries.empty())
      return append(1);
    const auto &first = Certain->Entries.front();
    DurableBatch batch;
    batch.Base =
        consensus::Snapshot{first.Index, first.Term, {}, std::string("state")};
    batch.ReplaceFrom = first.Index + 1;
    batch.Entries.assign(Certain->Entries.begin() + 1, Certain->Entries.end());
    batch.Commit = std::max(Certain->Commit, first.Index);
    return write(batch);
  }

  /// The process ends in the middle of a step.
  void end() { Open.reset(); }

  TestDisk Disk;
  std::unique_ptr<Store> Open;

private:
  uint64_t last() const {
    return Certain->Base.Index + Certain->Entries.size();
  }
  void checkNothingAcknowledged() const {
    INFO(Disk.trace());
    CHECK(!Certain);
  }
  void checkRecovered(const DurableState &state) {
    INFO(Disk.trace());
    if (Certain && !(Possible && state == *Possible)) {
      INFO("read: ", describe(state));
      INFO("acknowledged: ", describe(*Certain));
      CHECK(state == *Certain);
    }
    // What was read counts from now on: the member acts on it.
    Certain = state;
    Possible.reset();
  }

  DurableBatch Batch;
  bool Failed = false;
  std::optional<DurableState> Certain;
  std::optional<DurableState> Possible;
};

using Script = std::vector<std::function<bool(Member &)>>;

bool start(Member &member) { return member.start(); }
bool append(Member &member) { return member.append(1); }
bool vote(Member &member) { return member.vote(); }
bool replaceLast(Member &member) { return member.replaceLast(); }
bool snapshot(Member &member) { return member.snapshot(); }
bool restart(Member &member) {
  member.end();
  member.Disk.restart();
  return member.start();
}

const std::vector<Script> Scripts = {
    {start, append, append, append},
    {start, vote, append, replaceLast, restart, append},
    {start, append, append, snapshot, append, restart, vote},
    {start, append, snapshot, append, snapshot, append, append, snapshot},
};

/// Plays a script until a step fails.
void play(Member &member, const Script &script) {
  for (const auto &step : script)
    if (!step(member))
      break;
  member.end();
}

size_t operationsOf(const Script &script) {
  Member member;
  play(member, script);
  return member.Disk.operations();
}

// ALMONDGATE_SEEDS=FIRST-LAST plays other seeds than those of the test run.
std::pair<uint64_t, uint64_t> seeds() {
  constexpr uint64_t DefaultSeeds = 400;
  const char *text = std::getenv("ALMONDGATE_SEEDS");
  if (!text)
    return {1, DefaultSeeds};
  char *end = nullptr;
  const uint64_t first = std::strtoull(text, &end, 10);
  return {first, *end == '-' ? std::strtoull(end + 1, nullptr, 10) : first};
}

/// One life of a process: random writes, with faults of the disk, until it
/// fails, is killed or has done enough.
void playLife(Member &member, std::minstd_rand &random) {
  constexpr size_t Writes = 12;
  constexpr size_t LastKill = 120;
  constexpr size_t LastFailure = 60;
  if (random() % 2)
    member.Disk.killAfter(random() % LastKill);
  if (random() % 3 == 0)
    member.Disk.failAfter(random() % LastFailure, Eio);
  bool alive = member.start();
  for (size_t i = 0; alive && i < Writes; ++i) {
    if (random() % 8 == 0)
      member.Disk.setCapacity(member.Disk.usedBytes() + random() % 100);
    switch (random() % 5) {
    case 0:
      alive = member.vote();
      break;
    case 1:
      alive = member.replaceLast();
      break;
    case 2:
      alive = member.snapshot();
      break;
    default:
      alive = member.append(1 + random() % 3);
    }
    // The disk has room again, or works again.
    for (int retries = 0; !alive && retries < 3; ++retries) {
      if (member.Disk.isKilled())
        break;
      member.Disk.setCapacity(std::nullopt);
      alive = member.retry();
    }
  }
  member.end();
  member.Disk.setCapacity(std::nullopt);
}

} // namespace

TEST_CASE("power loss at any operation loses nothing acknowledged") {
  constexpr size_t OutcomesPerLoss = 300;
  for (const auto &script : Scripts) {
    const size_t operations = operationsOf(script);
    for (size_t at = 0; at <= operations; ++at) {
      Choices choices(OutcomesPerLoss);
      do {
        Member member;
        member.Disk.killAfter(at);
        play(member, script);
        member.Disk.losePower([&](size_t n) { return choices.choose(n); });
        REQUIRE(member.start());
        REQUIRE(member.append(9));
        REQUIRE(restart(member));
      } while (choices.next());
    }
  }
}

TEST_CASE("kill at any operation, then a power loss, loses nothing that was "
          "acknowledged") {
  constexpr size_t Samples = 40;
  std::minstd_rand random(1);
  for (const auto &script : Scripts) {
    const size_t operations = operationsOf(script);
    for (size_t at = 0; at <= operations; ++at)
      for (size_t i = 0; i < Samples; ++i) {
        Member member;
        member.Disk.killAfter(at);
        play(member, script);
        member.Disk.restart();
        REQUIRE(member.start());
        if (random() % 2)
          REQUIRE(member.append(9));
        member.end();
        member.Disk.losePower([&](size_t n) { return random() % n; });
        REQUIRE(member.start());
      }
  }
}

TEST_CASE("a sync that failed is not taken for done by a later process") {
  constexpr size_t Samples = 20;
  constexpr size_t RecoveryOperations = 12;
  std::minstd_rand random(2);
  for (const auto &script : Scripts) {
    const size_t operations = operationsOf(script);
    for (size_t at = 0; at < operations; ++at)
      for (size_t i = 0; i < Samples; ++i) {
        Member member;
        if (random() % 2)
          member.Disk.failAfter(random() % (at + 1), Eio);
        member.Disk.killAfter(at);
        play(member, script);
        member.Disk.restart();
        member.Disk.failAfter(random() % RecoveryOperations, Eio);
        (void)member.start();
        member.end();
        member.Disk.restart();
        REQUIRE(member.start());
        if (random() % 2)
          REQUIRE(member.append(9));
        member.end();
        member.Disk.losePower([&](size_t n) { return random() % n; });
        REQUIRE(member.start());
      }
  }
}

TEST_CASE("files of interrupted changes do not pile up") {
  constexpr int Kills = 20;
  std::minstd_rand random(3);
  Member member;
  REQUIRE(member.start());
  for (int i = 0; i < Kills; ++i) {
    REQUIRE(member.append(1));
    REQUIRE(member.append(1));
    member.Disk.killAfter(random() % 12);
    (void)member.snapshot();
    member.end();
    member.Disk.restart();
    REQUIRE(member.start());
    // The identity, the lock, a snapshot and its log.
    CHECK(member.Disk.files().size() == 4);
  }
}

TEST_CASE("random lives of a member on a failing disk lose nothing") {
  constexpr int Lives = 8;
  const auto [first, last] = seeds();
  for (uint64_t seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    std::minstd_rand random{uint32_t(seed)};
    Member member;
    for (int i = 0; i < Lives; ++i) {
      playLife(member, random);
      if (random() % 2)
        member.Disk.losePower([&](size_t n) { return random() % n; });
      else
        member.Disk.restart();
    }
    REQUIRE(member.start());
  }
}

TEST_CASE("after an I/O error the same process writes the batch again") {
  for (const auto &step : {append, vote, snapshot})
    for (size_t at = 0;; ++at) {
      Member member;
      REQUIRE(member.start());
      REQUIRE(member.append(1));
      const size_t before = member.Disk.operations();
      member.Disk.failAfter(at, Eio);
      bool done = step(member);
      // Errors in the removal of old files change nothing.
      if (done && member.Disk.operations() - before <= at)
        break;
      while (!done)
        done = member.retry();
      REQUIRE(member.append(2));
      member.end();
      member.Disk.losePower([](size_t) { return size_t(0); });
      REQUIRE(member.start());
    }
}

TEST_CASE("a disk that is full at any moment is used once it has room") {
  constexpr size_t LargestCapacity = 700;
  std::minstd_rand random(7);
  for (const auto &script : Scripts)
    for (size_t capacity = 0; capacity <= LargestCapacity; ++capacity) {
      Member member;
      member.Disk.setCapacity(capacity);
      play(member, script);
      // A restart on the full disk, which may fail as well.
      if (random() % 2)
        member.Disk.losePower([&](size_t n) { return random() % n; });
      else
        member.Disk.restart();
      (void)member.start();
      member.end();
      member.Disk.setCapacity(std::nullopt);
      REQUIRE(member.start());
      REQUIRE(member.append(9));
    }
}
