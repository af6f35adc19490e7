#ifndef ALMONDGATE_ENTRY_FRONT_MESSAGE_HPP
#define ALMONDGATE_ENTRY_FRONT_MESSAGE_HPP

#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"

#include <cstdint>
#include <variant>

namespace almondgate::entry {

/// A request was received on a caller's connection.
struct RequestArrived {
  uint64_t Exchange = 0;
  http::Request Request;
};

/// The caller of an exchange has disconnected.
struct CallerDisconnected {
  uint64_t Exchange = 0;
};

/// Sent from the FrontTask to the RouteTask.
using FrontEvent = std::variant<RequestArrived, CallerDisconnected>;

/// The response to an exchange; sent from the RouteTask to the FrontTask.
struct ResponseReady {
  uint64_t Exchange = 0;
  http::Response Response;
};

} // namespace almondgate::entry

#endif
