#ifndef ALMONDGATE_SRC_DISPATCH_DISPATCH_ERRORS_HPP
#define ALMONDGATE_SRC_DISPATCH_DISPATCH_ERRORS_HPP

#include "almondgate/core/error.hpp"

namespace almondgate::dispatch {

/// The error for requests that only the leader serves.
inline core::Error notLeading() {
  return {core::ErrorCode::NotLeader, "this member is not the control leader"};
}

/// The error for a request whose event may or may not become durable.
inline core::Error outcomeUnknown() {
  return {core::ErrorCode::Unavailable,
          "the change was not confirmed durable before leadership was lost",
          core::RunOutcome::Unknown};
}

} // namespace almondgate::dispatch

#endif
