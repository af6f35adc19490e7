#ifndef ALMONDGATE_STORAGE_FRAME_HPP
#define ALMONDGATE_STORAGE_FRAME_HPP

#include "almondgate/core/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace almondgate::storage {

/// Wraps a payload with a mark, its length and a CRC-32.
std::string encodeFrame(std::string_view payload);

/// The whole frames at the start of a file.
struct Frames {
  std::vector<std::string> Payloads;
  /// Bytes of the file that the frames take; what follows is a torn tail.
  size_t ValidBytes = 0;

  bool operator==(const Frames &) const = default;
};

/// Reads frames until the first that is not whole. Errors: Corrupt, with the
/// offset, where whole frames follow a damaged one.
core::Result<Frames> decodeFrames(std::string_view file);

} // namespace almondgate::storage

#endif
