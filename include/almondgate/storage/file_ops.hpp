#ifndef ALMONDGATE_STORAGE_FILE_OPS_HPP
#define ALMONDGATE_STORAGE_FILE_OPS_HPP

#include "almondgate/core/result.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace almondgate::storage {

/// File operations that may fail; tests replace them. Errors: NoSpace if a
/// disk, a quota or a file size limit is exhausted, otherwise Io.
struct FileOps {
  /// Writes all bytes to an open file.
  std::function<core::Status(int fd, std::string_view data)> Write;
  /// Makes a file's content durable.
  std::function<core::Status(int fd)> Sync;
  /// Renames a file atomically.
  std::function<core::Status(const std::string &from, const std::string &to)>
      Rename;
  /// Makes the entries of a folder durable.
  std::function<core::Status(const std::string &folder)> SyncFolder;
};

/// The error for errno after a failed system call: NoSpace if a disk, a quota
/// or a file size limit is exhausted, otherwise Io.
core::Error errorFromErrno(const std::string &what);

/// File operations that use the system calls.
FileOps systemFileOps();

} // namespace almondgate::storage

#endif
