#ifndef ALMONDGATE_STORAGE_TEST_DISK_HPP
#define ALMONDGATE_STORAGE_TEST_DISK_HPP

#include "almondgate/storage/file_ops.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondgate::storage {

/// A disk in memory that may lose power. Afterwards a file has what its last
/// sync covered; each later write is present, missing or torn, and each name
/// that was created, renamed or removed without a sync of its folder is kept or
/// lost independently of the others.
class TestDisk {
public:
  /// Returns a number below `n`, which is at least 1.
  using Choose = std::function<size_t(size_t n)>;

  FileOps ops();

  /// The process is killed at the operation after the next `n`.
  void killAfter(size_t n) { KilledIn = n; }
  /// The operation after the next `n` fails once. The writes that a failed sync
  /// should have covered stay readable and are not written by later syncs, as
  /// on Linux.
  void failAfter(size_t n, const core::Error &error);
  /// Writes fail with NoSpace beyond this many bytes in all files.
  void setCapacity(std::optional<size_t> bytes) { Capacity = bytes; }

  /// Starts a new process, without open files, on what the last one left.
  void restart();
  /// Loses power, and starts a new process on what is left.
  void losePower(const Choose &choose);

  bool isKilled() const { return Killed; }
  size_t operations() const { return Operations; }
  size_t usedBytes() const;
  /// The operations so far, one a line.
  const std::string &trace() const { return Trace; }
  /// Names and contents as a process reads them.
  std::map<std::string, std::string> files() const;
  /// Replaces a file by a durable one.
  void put(const std::string &path, const std::string &data);

private:
  /// A write, or a new length if there is no data.
  struct Change {
    uint64_t Offset = 0;
    std::optional<std::string> Data;
  };
  struct File {
    bool IsFolder = false;
    std::string Visible;
    std::string Durable;
    std::vector<Change> Unsynced;
  };
  using FileRef = std::shared_ptr<File>;
  using Names = std::map<std::string, FileRef>;
  /// A name that was created (only Added), removed (only Removed) or renamed.
  struct NameChange {
    std::string Removed;
    std::string Added;
    FileRef Target;
  };

  static void apply(std::string &content, const Change &change);
  static void apply(Names &names, const NameChange &change);
  static void settle(File &file, const Choose &choose);

  /// Counts an operation. Returns the error that it fails with.
  std::optional<core::Error> begin(const std::string &what);
  core::Result<int> open(const std::string &path, bool create);
  core::Result<int> lock(const std::string &path);
  core::Status write(int fd, uint64_t offset, std::string_view data);
  core::Status sync(int fd);
  core::Status rename(const std::string &from, const std::string &to);
  core::Result<bool> createFolder(const std::string &folder);
  core::Status syncFolder(const std::string &folder);
  core::Result<std::vector<std::string>> list(const std::string &folder);
  void changeName(const NameChange &change);

  Names Visible;
  Names Durable;
  std::vector<NameChange> Unsynced;
  std::map<int, FileRef> OpenFiles;
  std::map<int, std::string> Locks;
  int NextFd = 3;
  std::optional<size_t> KilledIn;
  std::optional<size_t> FailsIn;
  core::Error Failure;
  bool Killed = false;
  std::optional<size_t> Capacity;
  size_t Operations = 0;
  std::string Trace;
};

} // namespace almondgate::storage

#endif
