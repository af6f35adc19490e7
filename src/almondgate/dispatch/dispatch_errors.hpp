#ifndef ALMONDGATE_SRC_DISPATCH_DISPATCH_ERRORS_HPP
#define ALMONDGATE_SRC_DISPATCH_DISPATCH_ERRORS_HPP

#include "almondgate/core/error.hpp"

namespace almondgate::dispatch {

/// For calls that only the leader serves.
inline core::Error notLeading() {
  return {core::ErrorCode::NotLeader, "not the control leader"};
}

/// For a call whose record may become durable or not.
inline core::Error outcomeUnknown() {
  return {core::ErrorCode::Unavailable, "leadership was lost before the answer",
          core::RunOutcome::Unknown};
}

} // namespace almondgate::dispatch

#endif
