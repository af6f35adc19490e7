#ifndef ALMONDGATE_SRC_CONTROL_CONTROL_ERRORS_HPP
#define ALMONDGATE_SRC_CONTROL_CONTROL_ERRORS_HPP

#include "almondgate/core/error.hpp"

namespace almondgate::control {

/// The error of a call that only the leader serves.
inline core::Error notLeader() {
  return {core::ErrorCode::NotLeader, "this member is not the control leader"};
}

} // namespace almondgate::control

#endif
