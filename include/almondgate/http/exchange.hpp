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
};

} // namespace almondgate::http

#endif
