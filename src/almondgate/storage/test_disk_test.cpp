#include "test_disk.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace almondgate::storage {

using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;

namespace {

std::string parentOf(const std::string &path) {
  const size_t slash = path.find_last_of('/');
  return slash == 0 ? "/" : path.substr(0, slash);
}

Error notFound(const std::string &path) {
  return {ErrorCode::NotFound, path + ": no such file"};
}

} // namespace

FileOps TestDisk::ops() {
  FileOps out;
  out.Create = [this](const std::string &path) { return open(path, true); };
  out.Open = [this](const std::string &path) { return open(path, false); };
  out.Lock = [this](const std::string &path) { return lock(path); };
  out.Close = [this](int fd) {
    OpenFiles.erase(fd);
    Locks.erase(fd);
  };
  out.Write = [this](int fd, uint64_t offset, std::string_view data) {
    return write(fd, offset, data);
  };
  out.Truncate = [this](int fd, uint64_t size) -> Status {
    if (auto error = begin("truncate to " + std::to_string(size)))
      return *error;
    auto &file = *OpenFiles.at(fd);
    file.Unsynced.push_back({size, std::nullopt});
    apply(file.Visible, file.Unsynced.back());
    return core::ok();
  };
  out.Sync = [this](int fd) { return sync(fd); };
  out.Read = [this](const std::string &path) -> Result<std::string> {
    if (auto error = begin("read " + path))
      return *error;
    const auto it = Visible.find(path);
    if (it == Visible.end())
      return notFound(path);
    return it->second->Visible;
  };
  out.List = [this](const std::string &folder) { return list(folder); };
  out.Rename = [this](const std::string &from, const std::string &to) {
    return rename(from, to);
  };
  out.Remove = [this](const std::string &path) -> Status {
    if (auto error = begin("remove " + path))
      return *error;
    if (!Visible.contains(path))
      return notFound(path);
    changeName({path, "", nullptr});
    return core::ok();
  };
  out.CreateFolder = [this](const std::string &folder) {
    return createFolder(folder);
  };
  out.SyncFolder = [this](const std::string &folder) {
    return syncFolder(folder);
  };
  return out;
}

void TestDisk::failAfter(size_t n, const Error &error) {
  FailsIn = n;
  Failure = error;
}

std::optional<Error> TestDisk::begin(const std::string &what) {
  if (KilledIn && (*KilledIn)-- == 0) {
    Killed = true;
    KilledIn.reset();
  }
  if (Killed)
    return Error{ErrorCode::Io, "the process was killed"};
  ++Operations;
  Trace += what + "\n";
  if (!FailsIn || (*FailsIn)-- > 0)
    return std::nullopt;
  FailsIn.reset();
  Trace += "  fails: " + Failure.Text + "\n";
  return Failure;
}

Result<int> TestDisk::open(const std::string &path, bool create) {
  if (auto error = begin((create ? "create " : "open ") + path))
    return *error;
  const auto it = Visible.find(path);
  FileRef file = it == Visible.end() ? nullptr : it->second;
  if (!file && !create)
    return notFound(path);
  if (!file) {
    if (!Visible.contains(parentOf(path)))
      return notFound(path);
    file = std::make_shared<File>();
    changeName({"", path, file});
  } else if (create) {
    file->Unsynced.push_back({0, std::nullopt});
    file->Visible.clear();
  }
  OpenFiles[NextFd] = file;
  return NextFd++;
}

Result<int> TestDisk::lock(const std::string &path) {
  for (const auto &[fd, locked] : Locks)
    if (locked == path)
      return Error{ErrorCode::Conflict, path + " is locked"};
  if (auto error = begin("lock " + path))
    return *error;
  if (!Visible.contains(path))
    changeName({"", path, std::make_shared<File>()});
  Locks[NextFd] = path;
  return NextFd++;
}

Status TestDisk::write(int fd, uint64_t offset, std::string_view data) {
  if (auto error = begin("write " + std::to_string(data.size()) + " bytes at " +
                         std::to_string(offset)))
    return *error;
  auto &file = *OpenFiles.at(fd);
  const size_t end = size_t(offset) + data.size();
  const size_t more = end > file.Visible.size() ? end - file.Visible.size() : 0;
  const size_t used = usedBytes();
  const size_t room =
      !Capacity ? SIZE_MAX : *Capacity - std::min(*Capacity, used);
  const size_t missing = more > room ? more - room : 0;
  const size_t fitting = data.size() - std::min(missing, data.size());
  file.Unsynced.push_back({offset, std::string(data.substr(0, fitting))});
  apply(file.Visible, file.Unsynced.back());
  if (fitting < data.size())
    return Error{ErrorCode::NoSpace, "the disk is full"};
  return core::ok();
}

Status TestDisk::sync(int fd) {
  auto &file = *OpenFiles.at(fd);
  if (auto error = begin("sync")) {
    if (!Killed)
      file.Unsynced.clear();
    return *error;
  }
  for (const auto &change : file.Unsynced)
    apply(file.Durable, change);
  file.Unsynced.clear();
  return core::ok();
}

Status TestDisk::rename(const std::string &from, const std::string &to) {
  if (auto error = begin("rename " + from + " " + to))
    return *error;
  const auto it = Visible.find(from);
  if (it == Visible.end())
    return notFound(from);
  changeName({from, to, it->second});
  return core::ok();
}

Result<bool> TestDisk::createFolder(const std::string &folder) {
  if (auto error = begin("create folder " + folder))
    return *error;
  if (Visible.contains(folder))
    return false;
  if (folder != "/" && !Visible.contains(parentOf(folder)))
    return notFound(folder);
  const auto file = std::make_shared<File>();
  file->IsFolder = true;
  changeName({"", folder, file});
  return true;
}

Status TestDisk::syncFolder(const std::string &folder) {
  if (auto error = begin("sync folder " + folder))
    return *error;
  std::vector<NameChange> others;
  for (const auto &change : Unsynced) {
    const auto &name = change.Added.empty() ? change.Removed : change.Added;
    if (parentOf(name) == folder)
      apply(Durable, change);
    else
      others.push_back(change);
  }
  Unsynced = others;
  return core::ok();
}

Result<std::vector<std::string>> TestDisk::list(const std::string &folder) {
  if (auto error = begin("list " + folder))
    return *error;
  if (!Visible.contains(folder))
    return notFound(folder);
  std::vector<std::string> out;
  for (const auto &[path, file] : Visible)
    if (path != folder && parentOf(path) == folder)
      out.push_back(path.substr(path.find_last_of('/') + 1));
  return out;
}

void TestDisk::changeName(const NameChange &change) {
  Unsynced.push_back(change);
  apply(Visible, change);
}

size_t TestDisk::usedBytes() const {
  size_t out = 0;
  for (const auto &[path, file] : Visible)
    out += file->Visible.size();
  return out;
}

void TestDisk::apply(std::string &content, const Change &change) {
  if (!change.Data) {
    content.resize(change.Offset);
    return;
  }
  const size_t end = size_t(change.Offset) + change.Data->size();
  if (content.size() < end)
    content.resize(end);
  content.replace(change.Offset, change.Data->size(), *change.Data);
}

void TestDisk::apply(Names &names, const NameChange &change) {
  if (!change.Removed.empty())
    names.erase(change.Removed);
  if (!change.Added.empty())
    names[change.Added] = change.Target;
}

void TestDisk::settle(File &file, const Choose &choose) {
  for (const auto &change : file.Unsynced) {
    if (!change.Data) {
      if (choose(2) == 1)
        apply(file.Durable, change);
      continue;
    }
    // The first bytes of a torn write, or the last ones.
    const size_t size = change.Data->size();
    const size_t chosen = choose(2 * size + 1);
    if (chosen == 0)
      continue;
    if (chosen <= size)
      apply(file.Durable, {change.Offset, change.Data->substr(0, chosen)});
    else
      apply(file.Durable, {change.Offset + chosen - size,
                           change.Data->substr(chosen - size)});
  }
  file.Unsynced.clear();
  file.Visible = file.Durable;
}

void TestDisk::restart() {
  OpenFiles.clear();
  Locks.clear();
  KilledIn.reset();
  FailsIn.reset();
  Killed = false;
  Trace += "-- restart\n";
}

void TestDisk::losePower(const Choose &choose) {
  for (const auto &change : Unsynced) {
    const bool kept = choose(2) == 1;
    Trace += (kept ? "-- kept: " : "-- lost: ") + change.Removed + " > " +
             change.Added + "\n";
    if (kept)
      apply(Durable, change);
  }
  Unsynced.clear();
  for (auto it = Durable.begin(); it != Durable.end();) {
    const bool reachable =
        it->first == "/" || Durable.contains(parentOf(it->first));
    it = reachable ? std::next(it) : Durable.erase(it);
  }
  Visible = Durable;
  for (const auto &[path, file] : Durable)
    settle(*file, choose);
  restart();
}

std::map<std::string, std::string> TestDisk::files() const {
  std::map<std::string, std::string> out;
  for (const auto &[path, file] : Visible)
    if (!file->IsFolder)
      out[path] = file->Visible;
  return out;
}

void TestDisk::put(const std::string &path, const std::string &data) {
  const auto file = std::make_shared<File>();
  file->Visible = file->Durable = data;
  Visible[path] = Durable[path] = file;
}

} // namespace almondgate::storage

using namespace almondgate;
using namespace almondgate::storage;

namespace {

constexpr auto Lose = [](size_t) { return size_t(0); };

} // namespace

TEST_CASE("test disk: a power loss keeps what was synced") {
  TestDisk disk;
  const FileOps ops = disk.ops();
  REQUIRE(bool(ops.CreateFolder("/")));
  REQUIRE(bool(ops.SyncFolder("/")));
  const int fd = ops.Create("/a").value();
  REQUIRE(bool(ops.Write(fd, 0, "one")));
  REQUIRE(bool(ops.Sync(fd)));
  REQUIRE(bool(ops.SyncFolder("/")));
  REQUIRE(bool(ops.Write(fd, 3, "two")));
  REQUIRE(bool(ops.Rename("/a", "/b")));
  CHECK(disk.files() == std::map<std::string, std::string>{{"/b", "onetwo"}});
  disk.losePower(Lose);
  CHECK(disk.files() == std::map<std::string, std::string>{{"/a", "one"}});
}

TEST_CASE("test disk: unsynced names and writes are independent") {
  TestDisk disk;
  const FileOps ops = disk.ops();
  REQUIRE(bool(ops.CreateFolder("/")));
  REQUIRE(bool(ops.SyncFolder("/")));
  const int fd = ops.Create("/a").value();
  REQUIRE(bool(ops.Write(fd, 0, "one")));
  REQUIRE(bool(ops.Create("/b")));
  // Loses the name a, keeps b.
  size_t next = 0;
  disk.losePower([&](size_t) { return next++ % 2; });
  CHECK(disk.files() == std::map<std::string, std::string>{{"/b", ""}});
}

TEST_CASE("test disk: a later sync does not write what a failed one left") {
  TestDisk disk;
  const FileOps ops = disk.ops();
  REQUIRE(bool(ops.CreateFolder("/")));
  const int fd = ops.Create("/a").value();
  REQUIRE(bool(ops.SyncFolder("/")));
  REQUIRE(bool(ops.Write(fd, 0, "one")));
  disk.failAfter(0, {core::ErrorCode::Io, "EIO"});
  CHECK(!ops.Sync(fd));
  CHECK(bool(ops.Sync(fd)));
  CHECK(disk.files().at("/a") == "one");
  disk.losePower(Lose);
  CHECK(disk.files().at("/a").empty());
}
