#ifndef ALMONDGATE_HTTP_JSON_BODY_HPP
#define ALMONDGATE_HTTP_JSON_BODY_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace almondgate::http {

/// Encodes a message body. Bytes that are not UTF-8, which error texts may
/// quote from a request, become U+FFFD. Does not throw.
inline std::string encodeJson(const nlohmann::json &j) {
  constexpr int Compact = -1;
  return j.dump(Compact, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace almondgate::http

#endif
