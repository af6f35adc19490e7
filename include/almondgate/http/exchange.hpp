#ifndef ALMONDGATE_HTTP_EXCHANGE_HPP
#define ALMONDGATE_HTTP_EXCHANGE_HPP

#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"

#include <functional>

namespace almondgate::http {

/// A request that waits for its response.
struct Exchange {
  http::Request Request;
  /// Answers; later calls, or calls after the caller has gone, do nothing.
  std::function<void(const Response &)> Respond;
  /// Sets what runs when the caller goes before it is answered.
  std::function<void(std::function<void()>)> OnDisconnect;
};

} // namespace almondgate::http

#endif
