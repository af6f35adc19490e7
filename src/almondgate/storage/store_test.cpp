#include "almondgate/storage/frame.hpp"
#include "almondgate/storage/store.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <malloc.h>
#include <sstream>

using namespace almondgate;
using namespace almondgate::storage;
using consensus::DurableBatch;
using consensus::EntryKind;
using consensus::MemberId;
using core::ErrorCode;

namespace {

/// A data folder that is removed at the end of a test.
class Folder {
public:
  Folder() {
    static int next = 0;
    Path = (std::filesystem::temp_directory_path() /
            ("almondgate-store-" + std::to_string(getpid()) + "-" +
             std::to_string(next++)))
               .string();
    std::filesystem::remove_all(Path);
  }
  ~Folder() { std::filesystem::remove_all(Path); }

  std::string Path;
};

DurableBatch batchOf(uint64_t index, uint64_t term = 1) {
  DurableBatch out;
  out.ReplaceFrom = index;
  out.Entries = {
      {term, index, EntryKind::Command, "entry " + std::to_string(index)}};
  return out;
}

std::unique_ptr<Store> openExisting(const std::string &path,
                                    const FileOps &ops = systemFileOps()) {
  auto store = Store::open(path, ops);
  REQUIRE(bool(store));
  return std::move(store.value());
}

void formatWithEntries(const std::string &path, uint64_t entries) {
  REQUIRE(bool(Store::format(path, MemberId("m1"), {}, systemFileOps())));
  auto store = openExisting(path);
  for (uint64_t i = 1; i <= entries; ++i)
    REQUIRE(bool(store->write(batchOf(i))));
}

std::string readAll(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void writeAll(const std::string &path, const std::string &data) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << data;
}

} // namespace

TEST_CASE("written batches are recovered") {
  Folder folder;
  formatWithEntries(folder.Path, 3);
  auto store = openExisting(folder.Path);
  DurableBatch replace = batchOf(2, 5);
  replace.Voted = consensus::Vote{5, MemberId("m2")};
  replace.Commit = 1;
  REQUIRE(bool(store->write(replace)));
  store.reset();
  const auto state = openExisting(folder.Path)->takeRecoveredState();
  REQUIRE(state.Entries.size() == 2);
  CHECK(state.Entries[1].Term == 5);
  CHECK(state.Commit == 1);
  CHECK(state.Voted == consensus::Vote{5, MemberId("m2")});
}

TEST_CASE("a snapshot starts a new log and keeps the vote") {
  Folder folder;
  formatWithEntries(folder.Path, 5);
  auto store = openExisting(folder.Path);
  DurableBatch vote;
  vote.Voted = consensus::Vote{3, MemberId("m9")};
  REQUIRE(bool(store->write(vote)));
  DurableBatch snapshot = batchOf(5);
  snapshot.Base = consensus::Snapshot{4, 1, {}, std::string("state")};
  REQUIRE(bool(store->write(snapshot)));
  REQUIRE(bool(store->write(batchOf(6))));
  store.reset();
  const auto state = openExisting(folder.Path)->takeRecoveredState();
  CHECK(state.Base.Index == 4);
  CHECK(state.Base.Data == std::string("state"));
  CHECK(state.Entries.size() == 2);
  CHECK(state.Voted.Term == 3);
  CHECK(!std::filesystem::exists(folder.Path + "/log-0"));
}

TEST_CASE("a log cut at any byte of its last record loses only that record") {
  Folder folder;
  formatWithEntries(folder.Path, 3);
  const std::string log = folder.Path + "/log-0";
  const std::string whole = readAll(log);
  const auto frames = decodeFrames(whole);
  REQUIRE(bool(frames));
  const size_t last = encodeFrame(frames.value().Payloads.back()).size();
  for (size_t cut = 1; cut <= last; ++cut) {
    CAPTURE(cut);
    writeAll(log, whole.substr(0, whole.size() - cut));
    auto store = openExisting(folder.Path);
    CHECK(store->takeRecoveredState().Entries.size() == 2);
    // The torn tail is also removed from the file: later records are readable.
    REQUIRE(bool(store->write(batchOf(3, 2))));
    store.reset();
    CHECK(openExisting(folder.Path)->takeRecoveredState().Entries.back().Term ==
          2);
  }
}

TEST_CASE(
    "a flipped byte before the last record is rejected with a recovery hint") {
  Folder folder;
  formatWithEntries(folder.Path, 4);
  const std::string log = folder.Path + "/log-0";
  const std::string whole = readAll(log);
  const auto frames = decodeFrames(whole);
  REQUIRE(bool(frames));
  const size_t last = encodeFrame(frames.value().Payloads.back()).size();
  for (size_t at = 0; at < whole.size() - last; ++at) {
    CAPTURE(at);
    std::string damaged = whole;
    damaged[at] = char(damaged[at] ^ 0x20);
    writeAll(log, damaged);
    const auto store = Store::open(folder.Path, systemFileOps());
    REQUIRE(!store);
    CHECK(store.error().Code == ErrorCode::Corrupt);
    CHECK(store.error().Text.find("Lost disk") != std::string::npos);
  }
}

TEST_CASE("after a failed write or sync nothing more is written") {
  enum class FailingOp { Write, Sync, Rename, SyncFolder };
  for (const auto failing_op : {FailingOp::Write, FailingOp::Sync,
                                FailingOp::Rename, FailingOp::SyncFolder}) {
    CAPTURE(int(failing_op));
    Folder folder;
    formatWithEntries(folder.Path, 2);
    bool failing = false;
    const FileOps real = systemFileOps();
    const core::Status error = core::Error{ErrorCode::Io, "no space left"};
    FileOps ops = real;
    ops.Write = [&](int fd, uint64_t at, std::string_view data) {
      return failing && failing_op == FailingOp::Write
                 ? error
                 : real.Write(fd, at, data);
    };
    ops.Sync = [&](int fd) {
      return failing && failing_op == FailingOp::Sync ? error : real.Sync(fd);
    };
    ops.Rename = [&](const std::string &a, const std::string &b) {
      return failing && failing_op == FailingOp::Rename ? error
                                                        : real.Rename(a, b);
    };
    ops.SyncFolder = [&](const std::string &f) {
      return failing && failing_op == FailingOp::SyncFolder
                 ? error
                 : real.SyncFolder(f);
    };
    auto store = openExisting(folder.Path, ops);
    failing = true;
    DurableBatch batch = batchOf(3);
    batch.Base = consensus::Snapshot{2, 1, {}, std::string("state")};
    CHECK(!store->write(batch));
    failing = false;
    CHECK(!store->write(batchOf(3)));
    store.reset();
    // The state is from before or after the new generation, never a mix.
    const auto state = openExisting(folder.Path)->takeRecoveredState();
    const uint64_t last = state.Base.Index + state.Entries.size();
    CHECK(last >= 2);
  }
}

TEST_CASE("a folder is used by one process and has one identity") {
  Folder folder;
  formatWithEntries(folder.Path, 1);
  const auto held = openExisting(folder.Path);
  const auto second = Store::open(folder.Path, systemFileOps());
  REQUIRE(!second);
  CHECK(second.error().Code == ErrorCode::Conflict);
  const auto again =
      Store::format(folder.Path, MemberId("m2"), {}, systemFileOps());
  REQUIRE(!again);
  CHECK(again.error().Code == ErrorCode::Conflict);
}

TEST_CASE("an emptied folder has no identity") {
  Folder folder;
  const auto store = Store::open(folder.Path, systemFileOps());
  REQUIRE(!store);
  CHECK(store.error().Code == ErrorCode::NotFound);
}

TEST_CASE(
    "full disk: a batch that failed for lack of space can be written later") {
  for (const bool snapshot : {false, true})
    for (const bool in_sync : {false, true}) {
      CAPTURE(snapshot);
      CAPTURE(in_sync);
      Folder folder;
      formatWithEntries(folder.Path, 2);
      bool full = false;
      const FileOps real = systemFileOps();
      core::Status no_space = core::Error{ErrorCode::NoSpace, "full"};
      FileOps ops = real;
      ops.Write = [&](int fd, uint64_t at, std::string_view data) {
        if (!full || in_sync)
          return real.Write(fd, at, data);
        // Half of the data still fits.
        REQUIRE(bool(real.Write(fd, at, data.substr(0, data.size() / 2))));
        return no_space;
      };
      ops.Sync = [&](int fd) { return full ? no_space : real.Sync(fd); };
      auto store = openExisting(folder.Path, ops);
      DurableBatch batch = batchOf(3);
      batch.Voted = consensus::Vote{7, MemberId("m2")};
      if (snapshot)
        batch.Base = consensus::Snapshot{2, 1, {}, std::string("state")};
      full = true;
      for (int i = 0; i < 3; ++i) {
        const auto done = store->write(batch);
        REQUIRE(!done);
        CHECK(done.error().Code == ErrorCode::NoSpace);
      }
      full = false;
      REQUIRE(bool(store->write(batch)));
      REQUIRE(bool(store->write(batchOf(4))));
      store.reset();
      const auto state = openExisting(folder.Path)->takeRecoveredState();
      CHECK(state.Base.Index + state.Entries.size() == 4);
      CHECK(state.Voted.Term == 7);
    }
}

TEST_CASE(
    "full disk: state that was durable before is recovered after a crash") {
  Folder folder;
  formatWithEntries(folder.Path, 2);
  const FileOps real = systemFileOps();
  FileOps ops = real;
  bool full = false;
  ops.Write = [&](int fd, uint64_t at, std::string_view data) -> core::Status {
    if (!full)
      return real.Write(fd, at, data);
    REQUIRE(bool(real.Write(fd, at, data.substr(0, 5))));
    return core::Error{ErrorCode::NoSpace, "full"};
  };
  auto store = openExisting(folder.Path, ops);
  full = true;
  REQUIRE(!store->write(batchOf(3)));
  store.reset();
  CHECK(openExisting(folder.Path)->takeRecoveredState().Entries.size() == 2);
}

// A snapshot can be a tenth of the memory limit, and is in the node, in the
// batch and in the frame at the same time.
TEST_CASE("a large snapshot is copied once while it is written") {
  constexpr size_t Bytes = size_t{16} << 20;
  const auto allocated = [] {
    const auto heap = ::mallinfo2();
    return heap.uordblks + heap.hblkhd;
  };
  const Folder folder;
  formatWithEntries(folder.Path, 4);
  size_t peak = 0;
  FileOps ops = systemFileOps();
  ops.Write = [&, write = ops.Write](int fd, uint64_t at,
                                     std::string_view data) {
    peak = std::max(peak, allocated());
    return write(fd, at, data);
  };
  const auto store = openExisting(folder.Path, ops);
  DurableBatch batch = batchOf(5);
  batch.Base = consensus::Snapshot{4, 1, {}, std::string(Bytes, 'x')};
  const size_t before = allocated();
  REQUIRE(bool(store->write(batch)));
  CHECK(peak < before + 2 * Bytes);
}
