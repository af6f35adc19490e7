#ifndef ALMONDGATE_PROTOCOL_SEND_ROOM_HPP
#define ALMONDGATE_PROTOCOL_SEND_ROOM_HPP

#include "almondgate/task/tcp_stream.hpp"

#include <algorithm>

namespace almondgate::protocol {

/// The number of bytes that may be written to a socket now. Little is queued
/// there, so that heartbeats are not sent behind large bodies.
inline size_t sendRoom(const task::TcpStream &socket) {
  constexpr size_t MaxQueuedBytes = size_t{256} * 1024;
  return MaxQueuedBytes - std::min(MaxQueuedBytes, socket.pendingBytes());
}

} // namespace almondgate::protocol

#endif
