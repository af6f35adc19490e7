#ifndef ALMONDGATE_HTTP_HEADER_HPP
#define ALMONDGATE_HTTP_HEADER_HPP

#include <string>
#include <string_view>
#include <vector>

namespace almondgate::http {

/// A header field; names are compared case-insensitively.
struct Header {
  std::string Name;
  std::string Value;

  bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// Compares header names, or other names without regard to ASCII case.
bool sameName(std::string_view a, std::string_view b);

/// The value of the first header with this name, or an empty string.
std::string_view headerValue(const Headers &headers, std::string_view name);

/// The headers without the hop-by-hop ones, for forwarding.
/// Source: RFC 9110, section 7.6.1.
Headers withoutHopByHop(const Headers &headers);

} // namespace almondgate::http

#endif
