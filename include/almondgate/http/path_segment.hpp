#ifndef ALMONDGATE_HTTP_PATH_SEGMENT_HPP
#define ALMONDGATE_HTTP_PATH_SEGMENT_HPP

#include "almondgate/core/result.hpp"

#include <string>
#include <string_view>

namespace almondgate::http {

/// Replaces the percent-encoded bytes of a path segment (RFC 3986, section 2.1)
/// by what they stand for. Errors: InvalidArgument for an incomplete escape.
core::Result<std::string> decodeSegment(std::string_view segment);

/// Percent-encodes all but the unreserved characters.
std::string encodeSegment(std::string_view text);

} // namespace almondgate::http

#endif
