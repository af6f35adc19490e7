#ifndef ALMONDGATE_STORAGE_FILE_OPS_HPP
#define ALMONDGATE_STORAGE_FILE_OPS_HPP

#include "almondgate/core/result.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace almondgate::storage {

/// The operations on files that may fail; tests replace them. Errors: NoSpace
/// where a disk or a limit is full, Io.
struct FileOps {
  /// Writes all bytes to an open file.
  std::function<core::Status(int fd, std::string_view data)> Write;
  /// Makes a file's content durable.
  std::function<core::Status(int fd)> Sync;
  /// Renames a file in one step.
  std::function<core::Status(const std::string &from, const std::string &to)>
      Rename;
  /// Makes a folder's entries durable.
  std::function<core::Status(const std::string &folder)> SyncFolder;
};

/// The error that errno holds after a call of the operating system failed:
/// NoSpace where a disk, a quota or a limit of a file's size is full, else Io.
core::Error errorFromErrno(const std::string &what);

/// The operations of the operating system.
FileOps systemFileOps();

} // namespace almondgate::storage

#endif
