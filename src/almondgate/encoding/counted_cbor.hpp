#ifndef ALMONDGATE_SRC_ENCODING_COUNTED_CBOR_HPP
#define ALMONDGATE_SRC_ENCODING_COUNTED_CBOR_HPP

#include <nlohmann/json.hpp>
#include <string_view>

namespace almondgate::encoding {

/// As parseCbor(). Adds to `reads` how often the input was read: once for each
/// byte outside of strings, and once for each string.
nlohmann::json parseCborCounted(std::string_view bytes, size_t &reads);

} // namespace almondgate::encoding

#endif
