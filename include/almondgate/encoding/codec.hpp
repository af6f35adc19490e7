#ifndef ALMONDGATE_ENCODING_CODEC_HPP
#define ALMONDGATE_ENCODING_CODEC_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/encoding/json_bounds.hpp"

#include <string>
#include <string_view>

namespace almondgate::encoding {

/// Encodes a value as CBOR (RFC 8949): a map from member names to values.
/// Defined for the types listed in codec.cpp.
template <class T> std::string encode(const T &value);

/// Decodes the output of encode(). Unknown members are ignored and missing ones
/// get their defaults, for compatibility between versions. Errors: Corrupt.
template <class T> core::Result<T> decode(std::string_view bytes);

/// Encodes an error; separate from encode(), as no Result can hold an Error.
std::string encodeError(const core::Error &error);

/// Decodes the output of encodeError(); gives Corrupt for unreadable bytes.
core::Error decodeError(std::string_view bytes);

/// Encodes a value as indented JSON, for display to people.
template <class T> std::string toJson(const T &value);

/// Bounds that a configuration with the most queues, pools, teams and keys
/// (jobs/name_limits.hpp) does not reach.
inline constexpr JsonBounds ConfigBounds{{}, 50000, 500000};

/// Decodes JSON written by people: an unknown or misspelt member is an error.
/// Errors: InvalidArgument, naming the member, also beyond `bounds`.
template <class T>
core::Result<T> fromJson(std::string_view text,
                         const JsonBounds &bounds = ConfigBounds);

} // namespace almondgate::encoding

#endif
