#ifndef ALMONDGATE_STORAGE_FILE_OPS_HPP
#define ALMONDGATE_STORAGE_FILE_OPS_HPP

#include "almondgate/core/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondgate::storage {

/// All file operations of a data folder; tests replace them. Errors: NoSpace if
/// a disk, a quota or a file size limit is exhausted, otherwise Io, and those
/// that an operation names.
struct FileOps {
  /// Creates or empties a file and opens it for writing.
  std::function<core::Result<int>(const std::string &path)> Create;
  /// Opens an existing file for writing.
  std::function<core::Result<int>(const std::string &path)> Open;
  /// Opens or creates a file and locks it. Errors: Conflict if another process
  /// holds the lock.
  std::function<core::Result<int>(const std::string &path)> Lock;
  std::function<void(int fd)> Close;
  /// Writes all bytes at an offset of an open file.
  std::function<core::Status(int fd, uint64_t offset, std::string_view data)>
      Write;
  /// Sets a file's length.
  std::function<core::Status(int fd, uint64_t size)> Truncate;
  /// Makes a file's content durable.
  std::function<core::Status(int fd)> Sync;
  /// Reads a whole file. Errors: NotFound.
  std::function<core::Result<std::string>(const std::string &path)> Read;
  /// Returns the names in a folder. Errors: NotFound.
  std::function<core::Result<std::vector<std::string>>(
      const std::string &folder)>
      List;
  /// Renames a file atomically.
  std::function<core::Status(const std::string &from, const std::string &to)>
      Rename;
  /// Removes a file.
  std::function<core::Status(const std::string &path)> Remove;
  /// Creates a folder. Returns false if it exists. Errors: NotFound if its
  /// parent does not exist.
  std::function<core::Result<bool>(const std::string &folder)> CreateFolder;
  /// Makes the entries of a folder durable. Errors: Forbidden if the system
  /// does not let this process sync it.
  std::function<core::Status(const std::string &folder)> SyncFolder;
};

/// The error for errno after a failed system call: NoSpace if a disk, a quota
/// or a file size limit is exhausted, otherwise Io.
core::Error errorFromErrno(const std::string &what);

/// File operations that use the system calls.
FileOps systemFileOps();

} // namespace almondgate::storage

#endif
