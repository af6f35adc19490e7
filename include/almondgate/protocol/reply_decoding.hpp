#ifndef ALMONDGATE_PROTOCOL_REPLY_DECODING_HPP
#define ALMONDGATE_PROTOCOL_REPLY_DECODING_HPP

#include "almondgate/encoding/codec.hpp"

namespace almondgate::protocol {

/// Decodes the reply of an inner call, or passes its error on.
template <class T>
core::Result<T> decodeReply(const core::Result<std::string> &reply) {
  if (!reply)
    return reply.error();
  return encoding::decode<T>(reply.value());
}

/// The status of an inner call that returns no value.
inline core::Status replyStatus(const core::Result<std::string> &reply) {
  if (!reply)
    return reply.error();
  return core::ok();
}

} // namespace almondgate::protocol

#endif
