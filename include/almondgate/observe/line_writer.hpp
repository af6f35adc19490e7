#ifndef ALMONDGATE_OBSERVE_LINE_WRITER_HPP
#define ALMONDGATE_OBSERVE_LINE_WRITER_HPP

#include "almondgate/core/duration_ms.hpp"

#include <string_view>

namespace almondgate::observe {

/// Writes lines to a descriptor that may have a slow reader or none. Not
/// thread-safe.
class LineWriter {
public:
  LineWriter(int fd, core::DurationMs patience)
      : Descriptor(fd), Patience(patience) {}

  /// Returns false if the line was dropped: the descriptor took no bytes for
  /// the patience of the writer, or the write failed. After that, lines are
  /// dropped at once until it takes bytes again.
  bool write(std::string_view line);

private:
  bool awaitWritable() const;
  bool writeAll(std::string_view bytes);

  const int Descriptor;
  const core::DurationMs Patience;
  bool Blocked = false;
  /// Part of a line was written.
  bool Cut = false;
};

} // namespace almondgate::observe

#endif
