#ifndef ALMONDGATE_ENCODING_JSON_BOUNDS_HPP
#define ALMONDGATE_ENCODING_JSON_BOUNDS_HPP

#include <cstddef>
#include <span>
#include <string_view>

namespace almondgate::encoding {

/// What parseJson() keeps of a text. A parsed value takes up to about 100
/// bytes, many times the two or three of its text.
struct JsonBounds {
  /// Names of the members to keep, at any level; others are skipped, whatever
  /// they hold. Empty: all are kept.
  std::span<const std::string_view> Members;
  /// Maximum number of items of one list or object.
  size_t MaxItems = 0;
  /// Maximum number of values in all.
  size_t MaxValues = 0;
};

} // namespace almondgate::encoding

#endif
