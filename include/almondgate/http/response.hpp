#ifndef ALMONDGATE_HTTP_RESPONSE_HPP
#define ALMONDGATE_HTTP_RESPONSE_HPP

#include "almondgate/core/error.hpp"
#include "almondgate/http/header.hpp"

namespace almondgate::http {

/// A complete HTTP response.
struct Response {
  int Status = 200;
  http::Headers Headers;
  std::string Body;

  bool operator==(const Response &) const = default;
};

/// A response with a JSON body.
Response jsonResponse(int status, std::string body);

/// The HTTP status code for an error.
int statusOf(const core::Error &error);

/// An error as application/problem+json (RFC 9457) with its stable code and an
/// almondgate-outcome header; transient errors carry Retry-After.
Response problemResponse(const core::Error &error);

} // namespace almondgate::http

#endif
