#include "almondgate/storage/file_ops.hpp"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace almondgate::storage {

core::Error errorFromErrno(const std::string &what) {
  const int code = errno;
  const bool full = code == ENOSPC || code == EDQUOT || code == EFBIG;
  return {full ? core::ErrorCode::NoSpace : core::ErrorCode::Io,
          what + ": " + std::strerror(code)};
}

namespace {

core::Status writeAll(int fd, std::string_view data) {
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

core::Status syncFile(int fd) {
  if (::fdatasync(fd) != 0)
    return errorFromErrno("fdatasync");
  return core::ok();
}

core::Status renameFile(const std::string &from, const std::string &to) {
  if (::rename(from.c_str(), to.c_str()) != 0)
    return errorFromErrno("rename " + from);
  return core::ok();
}

core::Status syncFolder(const std::string &folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return errorFromErrno("open " + folder);
  const bool synced = ::fsync(fd) == 0;
  const core::Error error = errorFromErrno("fsync " + folder);
  ::close(fd);
  if (!synced)
    return error;
  return core::ok();
}

} // namespace

FileOps systemFileOps() { return {writeAll, syncFile, renameFile, syncFolder}; }

} // namespace almondgate::storage
