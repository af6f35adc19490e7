#ifndef ALMONDGATE_HTTP_ENDPOINT_CALL_HPP
#define ALMONDGATE_HTTP_ENDPOINT_CALL_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/duration_ms.hpp"
#include "almondgate/http/request.hpp"

namespace almondgate::http {

/// A request to an endpoint.
struct EndpointCall {
  core::Address To;
  http::Request Request;
  /// Use a new connection, so that the request can't be lost when the endpoint
  /// closes an idle one at the same time.
  bool FreshConnection = false;
  core::DurationMs Timeout{60000};

  bool operator==(const EndpointCall &) const = default;
};

} // namespace almondgate::http

#endif
