#ifndef ALMONDGATE_SRC_ENTRY_REPLY_DECODING_HPP
#define ALMONDGATE_SRC_ENTRY_REPLY_DECODING_HPP

#include "almondgate/encoding/codec.hpp"

namespace almondgate::entry {

/// The value of an inner call's reply, or its error.
template <class T>
core::Result<T> decoded(const core::Result<std::string> &reply) {
  if (!reply)
    return reply.error();
  return encoding::decode<T>(reply.value());
}

/// Whether an inner call was carried out.
inline core::Status statusOf(const core::Result<std::string> &reply) {
  if (!reply)
    return reply.error();
  return core::ok();
}

} // namespace almondgate::entry

#endif
