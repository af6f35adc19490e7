#ifndef ALMONDGATE_STORAGE_FRAME_HPP
#define ALMONDGATE_STORAGE_FRAME_HPP

#include "almondgate/core/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace almondgate::storage {

/// Prepends a magic number, the payload's length, and a CRC-32 of both the
/// length and the payload.
std::string encodeFrame(std::string payload);

/// The intact frames at the start of a file.
struct Frames {
  std::vector<std::string> Payloads;
  /// Size of the intact frames in bytes; anything after them is a torn tail.
  size_t ValidBytes = 0;

  bool operator==(const Frames &) const = default;
};

/// Reads frames until the first that is incomplete or damaged. Errors: Corrupt,
/// with the offset, if intact frames follow it.
core::Result<Frames> decodeFrames(std::string_view file);

} // namespace almondgate::storage

#endif
