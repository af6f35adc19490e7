#include "almondgate/storage/data_folder.hpp"

#include "folder_names.hpp"
#include "test_disk.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace almondgate;
using namespace almondgate::storage;
using consensus::MemberId;
using core::ErrorCode;

namespace {

const std::string Data = "/data";

consensus::DurableBatch entryAt(uint64_t index) {
  consensus::DurableBatch out;
  out.ReplaceFrom = index;
  out.Entries = {{1, index, consensus::EntryKind::Command, "entry"}};
  return out;
}

/// A member that founds a group if its folder never had a state.
class Member {
public:
  Member() {
    REQUIRE(bool(Disk.ops().CreateFolder("/")));
    REQUIRE(bool(Disk.ops().SyncFolder("/")));
  }

  core::Status open() {
    Open.reset();
    auto opened = openDataFolder(
        Data, Disk.ops(),
        {[this](const FolderHistory &history) {
           const consensus::Member self{MemberId("first"), {}, true};
           if (!history.Interrupted.Members.empty())
             return FirstState{self.Id, history.Interrupted};
           const std::string number = std::to_string(++Joins);
           return history.HadState || !Founds
                      ? FirstState{MemberId("joiner-" + number), {}}
                      : FirstState{self.Id, {{self}}};
         },
         [this](const std::string &line) { Log += line + "\n"; }});
    if (!opened)
      return opened.error();
    Open = std::move(opened.value());
    return core::ok();
  }
  void write(uint64_t entries) {
    REQUIRE(bool(open()));
    for (uint64_t i = 1; i <= entries; ++i)
      REQUIRE(bool(Open->write(entryAt(i))));
    consensus::DurableBatch batch;
    batch.Base = consensus::Snapshot{entries, 1, {}, std::string("state")};
    batch.ReplaceFrom = entries + 1;
    REQUIRE(bool(Open->write(batch)));
    REQUIRE(bool(Open->write(entryAt(entries + 1))));
    Open.reset();
  }

  TestDisk Disk;
  std::unique_ptr<Store> Open;
  std::string Log;
  int Joins = 0;
  bool Founds = true;
};

} // namespace

TEST_CASE("a member with damaged files rejoins under a new identity") {
  for (const std::string name : {"identity", "snapshot-2", "log-2"})
    for (const bool emptied : {true, false}) {
      CAPTURE(name);
      CAPTURE(emptied);
      Member member;
      member.write(2);
      std::string file = member.Disk.files().at(joinPath(Data, name));
      if (emptied)
        file.clear();
      else
        file[0] = char(file[0] ^ 0x20);
      member.Disk.put(joinPath(Data, name), file);
      REQUIRE(bool(member.open()));
      CHECK(member.Open->identity() == MemberId("joiner-2"));
      CHECK(member.Open->takeRecoveredState() == consensus::DurableState{});
      CHECK(member.Disk.files().at(joinPath(Data, DamagedPrefix + name)) ==
            file);
      CHECK(member.Log.find(name) != std::string::npos);
      // The next start keeps the new identity.
      REQUIRE(bool(member.open()));
      CHECK(member.Open->identity() == MemberId("joiner-2"));
    }
}

TEST_CASE("a member without its identity file does not found a group") {
  Member member;
  member.write(2);
  REQUIRE(bool(member.Disk.ops().Remove(Data + "/identity")));
  REQUIRE(bool(member.open()));
  CHECK(member.Open->identity() == MemberId("joiner-2"));
  CHECK(member.Open->takeRecoveredState() == consensus::DurableState{});
}

TEST_CASE("a member set aside at any moment never founds or takes old files") {
  constexpr size_t Operations = 50;
  constexpr int Samples = 20;
  std::minstd_rand random(4);
  for (size_t at = 0; at < Operations; ++at)
    for (int i = 0; i < Samples; ++i) {
      Member member;
      member.write(2);
      member.Disk.put(Data + "/snapshot-2", "");
      member.Disk.killAfter(at);
      (void)member.open();
      member.Open.reset();
      if (random() % 2)
        member.Disk.losePower([&](size_t n) { return random() % n; });
      else
        member.Disk.restart();
      INFO(member.Disk.trace());
      REQUIRE(bool(member.open()));
      CHECK(member.Open->identity() != MemberId("first"));
      CHECK(member.Open->takeRecoveredState() == consensus::DurableState{});
    }
}

TEST_CASE("a member keeps its founder's identity through an interrupted first "
          "start") {
  constexpr size_t Operations = 50;
  constexpr int Samples = 20;
  std::minstd_rand random(5);
  for (size_t at = 0; at < Operations; ++at)
    for (int i = 0; i < Samples; ++i) {
      Member member;
      member.Disk.killAfter(at);
      (void)member.open();
      member.Open.reset();
      if (random() % 2)
        member.Disk.losePower([&](size_t n) { return random() % n; });
      else
        member.Disk.restart();
      INFO(member.Disk.trace());
      REQUIRE(bool(member.open()));
      CHECK(member.Open->identity() == MemberId("first"));
    }
}

TEST_CASE("a founder killed during its first format stays one") {
  constexpr size_t Operations = 50;
  constexpr int Samples = 20;
  std::minstd_rand random(6);
  for (size_t at = 0; at < Operations; ++at)
    for (int i = 0; i < Samples; ++i) {
      Member member;
      member.Disk.killAfter(at);
      (void)member.open();
      member.Open.reset();
      member.Founds = false;
      if (random() % 2)
        member.Disk.losePower([&](size_t n) { return random() % n; });
      else
        member.Disk.restart();
      INFO(member.Disk.trace());
      const bool has_begun = member.Disk.files().contains(Data + "/snapshot-0");
      REQUIRE(bool(member.open()));
      CHECK((member.Open->identity() == MemberId("first")) == has_begun);
      CHECK(member.Open->takeRecoveredState().Base.Voters.Members.size() ==
            (has_begun ? 1 : 0));
    }
}

TEST_CASE("files of another version are left alone") {
  Member member;
  member.write(2);
  member.Disk.put(Data + "/identity", "almondgate-data 2\nm1");
  const auto before = member.Disk.files();
  const auto opened = member.open();
  REQUIRE(!opened);
  CHECK(opened.error().Code == ErrorCode::InvalidArgument);
  CHECK(member.Disk.files() == before);
}
