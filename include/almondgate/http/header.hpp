#ifndef ALMONDGATE_HTTP_HEADER_HPP
#define ALMONDGATE_HTTP_HEADER_HPP

#include <string>
#include <string_view>
#include <vector>

namespace almondgate::http {

/// A header field; names are compared without regard to case.
struct Header {
  std::string Name;
  std::string Value;

  bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// The first value of a header, or empty.
std::string_view headerValue(const Headers &headers, std::string_view name);

/// The headers that go on to the next hop.
/// Source: RFC 9110, section 7.6.1.
Headers withoutHopByHop(const Headers &headers);

} // namespace almondgate::http

#endif
