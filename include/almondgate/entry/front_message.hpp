#ifndef ALMONDGATE_ENTRY_FRONT_MESSAGE_HPP
#define ALMONDGATE_ENTRY_FRONT_MESSAGE_HPP

#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"

#include <cstdint>
#include <variant>

namespace almondgate::entry {

/// A request came in on a caller's connection.
struct RequestArrived {
  uint64_t Exchange = 0;
  http::Request Request;
};

/// The caller of an exchange has gone.
struct CallerDisconnected {
  uint64_t Exchange = 0;
};

/// From the FrontTask to the RouteTask.
using FrontEvent = std::variant<RequestArrived, CallerDisconnected>;

/// The answer to an exchange; from the RouteTask to the FrontTask.
struct ResponseReady {
  uint64_t Exchange = 0;
  http::Response Response;
};

} // namespace almondgate::entry

#endif
