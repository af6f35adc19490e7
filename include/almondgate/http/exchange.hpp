#ifndef ALMONDGATE_HTTP_EXCHANGE_HPP
#define ALMONDGATE_HTTP_EXCHANGE_HPP

#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"

#include <functional>

namespace almondgate::http {

/// A request and the callbacks to answer it.
struct Exchange {
  http::Request Request;
  /// Sends the response. Later calls, and calls after the caller has
  /// disconnected, have no effect.
  std::function<void(const Response &)> Respond;
  /// Sets a callback for a caller that disconnects before the response.
  std::function<void(std::function<void()>)> OnDisconnect;
  /// False once the request is answered, or its caller has closed the
  /// connection. Looks at the connection, while OnDisconnect may be up to 250
  /// ms late.
  std::function<bool()> IsConnected = [] { return true; };
};

} // namespace almondgate::http

#endif
