#ifndef ALMONDGATE_ENCODING_CBOR_HPP
#define ALMONDGATE_ENCODING_CBOR_HPP

#include "almondgate/core/result.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace almondgate::encoding {

/// Parses CBOR (RFC 8949) from untrusted input. Refuses input that is nested
/// too deeply for the library's recursive parser. Throws
/// nlohmann::json::exception.
nlohmann::json parseCbor(std::string_view bytes);

/// Encodes a value that the JSON library can convert.
template <class T> std::string toCbor(const T &value) {
  std::string out;
  nlohmann::json::to_cbor(nlohmann::json(value), out);
  return out;
}

/// Decodes the format of toCbor(). Errors: Corrupt.
template <class T> core::Result<T> fromCbor(std::string_view bytes) {
  try {
    return parseCbor(bytes).template get<T>();
  } catch (const nlohmann::json::exception &e) {
    return core::Error{core::ErrorCode::Corrupt, e.what()};
  }
}

} // namespace almondgate::encoding

#endif
