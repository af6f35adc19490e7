#ifndef ALMONDGATE_CONTROL_READ_MESSAGE_HPP
#define ALMONDGATE_CONTROL_READ_MESSAGE_HPP

#include "almondgate/consensus/message.hpp"
#include "almondgate/core/result.hpp"

#include <string>

namespace almondgate::control {

/// Decodes a message of another member, whose memberships must be readable: a
/// Node that appends one decodes it at once. Errors: Corrupt.
core::Result<consensus::Message> readMessage(const std::string &body);

} // namespace almondgate::control

#endif
