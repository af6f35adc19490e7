#include "almondgate/observe/line_writer.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace almondgate::observe {

bool LineWriter::write(std::string_view line) {
  if (Cut && !writeAll("\n"))
    return false;
  Cut = false;
  return writeAll(line);
}

bool LineWriter::awaitWritable() const {
  pollfd row{Descriptor, POLLOUT, 0};
  return ::poll(&row, 1, Blocked ? 0 : int(Patience.Count)) > 0;
}

bool LineWriter::writeAll(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!awaitWritable()) {
      Blocked = true;
      return false;
    }
    // A writable pipe takes this many bytes without blocking.
    const ssize_t n = ::write(Descriptor, bytes.data(),
                              std::min(bytes.size(), size_t{PIPE_BUF}));
    if (n < 0 && errno != EINTR && errno != EAGAIN)
      return false;
    if (n <= 0)
      continue;
    Blocked = false;
    bytes.remove_prefix(size_t(n));
    Cut = !bytes.empty();
  }
  return true;
}

} // namespace almondgate::observe
