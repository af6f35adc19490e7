#include "almondgate/storage/file_ops.hpp"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace almondgate::storage {

using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;

Error errorFromErrno(const std::string &what) {
  const int code = errno;
  const bool full = code == ENOSPC || code == EDQUOT || code == EFBIG;
  return {full ? ErrorCode::NoSpace : ErrorCode::Io,
          what + ": " + std::strerror(code)};
}

namespace {

constexpr mode_t FileMode = 0600;
constexpr mode_t FolderMode = 0777;
constexpr size_t ReadBytes = 65536;

Error errorOrNotFound(const std::string &what) {
  Error error = errorFromErrno(what);
  if (errno == ENOENT)
    error.Code = ErrorCode::NotFound;
  return error;
}

Result<int> openFile(const std::string &path, int flags) {
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC, FileMode);
  if (fd < 0)
    return errorFromErrno("open " + path);
  return fd;
}

Result<int> lockFile(const std::string &path) {
  auto fd = openFile(path, O_RDWR | O_CREAT);
  if (!fd || ::flock(fd.value(), LOCK_EX | LOCK_NB) == 0)
    return fd;
  Error error = errorFromErrno("lock " + path);
  if (errno == EWOULDBLOCK)
    error = {ErrorCode::Conflict, path + " is locked by another process"};
  ::close(fd.value());
  return error;
}

Status writeAt(int fd, uint64_t offset, std::string_view data) {
  if (::lseek(fd, off_t(offset), SEEK_SET) < 0)
    return errorFromErrno("seek");
  while (!data.empty()) {
    const ssize_t n = ::write(fd, data.data(), data.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return errorFromErrno("write");
    data.remove_prefix(size_t(n));
  }
  return core::ok();
}

Status truncateFile(int fd, uint64_t size) {
  if (::ftruncate(fd, off_t(size)) != 0)
    return errorFromErrno("truncate");
  return core::ok();
}

Status syncFile(int fd) {
  if (::fdatasync(fd) != 0)
    return errorFromErrno("fdatasync");
  return core::ok();
}

Result<std::string> readFile(const std::string &path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return errorOrNotFound("open " + path);
  std::string out;
  ssize_t n = 0;
  do {
    const size_t have = out.size();
    out.resize(have + ReadBytes);
    n = ::read(fd, out.data() + have, ReadBytes);
    out.resize(have + (n > 0 ? size_t(n) : 0));
  } while (n > 0 || (n < 0 && errno == EINTR));
  const Error error = errorFromErrno("read " + path);
  ::close(fd);
  if (n < 0)
    return error;
  return out;
}

Result<std::vector<std::string>> listFolder(const std::string &folder) {
  DIR *dir = ::opendir(folder.c_str());
  if (!dir)
    return errorOrNotFound("open " + folder);
  std::vector<std::string> out;
  errno = 0;
  while (const dirent *entry = ::readdir(dir)) {
    const std::string name = entry->d_name;
    if (name != "." && name != "..")
      out.push_back(name);
  }
  const bool failed = errno != 0;
  const Error error = errorFromErrno("list " + folder);
  ::closedir(dir);
  if (failed)
    return error;
  return out;
}

Status renameFile(const std::string &from, const std::string &to) {
  if (::rename(from.c_str(), to.c_str()) != 0)
    return errorFromErrno("rename " + from);
  return core::ok();
}

Status removeFile(const std::string &path) {
  if (::unlink(path.c_str()) != 0)
    return errorOrNotFound("remove " + path);
  return core::ok();
}

Result<bool> createFolder(const std::string &folder) {
  if (::mkdir(folder.c_str(), FolderMode) == 0)
    return true;
  if (errno == EEXIST)
    return false;
  return errorOrNotFound("create " + folder);
}

// What the disk answers, as opposed to the system's refusal to try.
bool isDiskError(const Error &error, int code) {
  return error.Code == ErrorCode::NoSpace || code == EIO;
}

Status syncFolder(const std::string &folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = fd >= 0 && ::fsync(fd) == 0;
  const int code = errno;
  Error error = errorFromErrno("sync folder " + folder);
  if (fd >= 0)
    ::close(fd);
  if (synced)
    return core::ok();
  if (!isDiskError(error, code))
    error.Code = ErrorCode::Forbidden;
  return error;
}

} // namespace

FileOps systemFileOps() {
  FileOps out;
  out.Create = [](const std::string &path) {
    return openFile(path, O_WRONLY | O_CREAT | O_TRUNC);
  };
  out.Open = [](const std::string &path) { return openFile(path, O_WRONLY); };
  out.Lock = lockFile;
  out.Close = [](int fd) { ::close(fd); };
  out.Write = writeAt;
  out.Truncate = truncateFile;
  out.Sync = syncFile;
  out.Read = readFile;
  out.List = listFolder;
  out.Rename = renameFile;
  out.Remove = removeFile;
  out.CreateFolder = createFolder;
  out.SyncFolder = syncFolder;
  return out;
}

} // namespace almondgate::storage
