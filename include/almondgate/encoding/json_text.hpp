#ifndef ALMONDGATE_ENCODING_JSON_TEXT_HPP
#define ALMONDGATE_ENCODING_JSON_TEXT_HPP

#include "almondgate/encoding/json_bounds.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace almondgate::encoding {

/// Parses JSON from untrusted input and never holds more than `bounds` allows.
/// Lists and objects that are nested more than 64 levels deep become null.
/// Throws nlohmann::json::exception for text that is not JSON or exceeds the
/// bounds.
nlohmann::json parseJson(std::string_view text, const JsonBounds &bounds);

/// Returns the message of an exception without the rest of a long input that it
/// may quote.
std::string errorText(const nlohmann::json::exception &error);

} // namespace almondgate::encoding

#endif
