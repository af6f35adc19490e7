#ifndef ALMONDGATE_HTTP_REQUEST_HPP
#define ALMONDGATE_HTTP_REQUEST_HPP

#include "almondgate/http/header.hpp"

namespace almondgate::http {

/// A complete HTTP request.
struct Request {
  std::string Method;
  /// Path and query.
  std::string Target;
  http::Headers Headers;
  std::string Body;

  bool operator==(const Request &) const = default;
};

/// True if a request with this method is idempotent and may be retried.
/// Source: RFC 9110, section 9.2.2.
bool isIdempotentMethod(std::string_view method);

} // namespace almondgate::http

#endif
