#ifndef ALMONDGATE_ENCODING_CODEC_HPP
#define ALMONDGATE_ENCODING_CODEC_HPP

#include "almondgate/core/result.hpp"

#include <string>
#include <string_view>

namespace almondgate::encoding {

/// Encodes a value as CBOR (RFC 8949): a map from member names to values.
/// Defined for the values listed in codec.cpp.
template <class T> std::string encode(const T &value);

/// Decodes what encode() wrote. Unknown members are ignored and missing ones
/// take their defaults, so that versions can meet. Errors: Corrupt.
template <class T> core::Result<T> decode(std::string_view bytes);

/// Encodes an error; a Result can't hold one as its value.
std::string encodeError(const core::Error &error);

/// Decodes what encodeError() wrote, or says that the bytes are corrupt.
core::Error decodeError(std::string_view bytes);

/// Encodes a value as indented JSON, for people.
template <class T> std::string toJson(const T &value);

/// Decodes JSON from people: an unknown or misspelt member is an error.
/// Errors: InvalidArgument, naming the member.
template <class T> core::Result<T> fromJson(std::string_view text);

} // namespace almondgate::encoding

#endif
