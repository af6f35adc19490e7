#ifndef ALMONDGATE_TASK_TCP_STREAM_HPP
#define ALMONDGATE_TASK_TCP_STREAM_HPP

#include "almondgate/core/result.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct uv_tcp_s;
struct uv_stream_s;

namespace almondgate::core {
struct Address;
} // namespace almondgate::core

namespace almondgate::task {

class Loop;

/// The functions that a connection calls for its events.
struct TcpStreamHooks {
  std::function<void(std::string_view)> OnData;
  /// The peer closed the connection, or it failed. Called at most once.
  std::function<void(const core::Error &)> OnClose;
  /// The kernel has accepted the bytes of a write().
  std::function<void()> OnWritten = {};
};

/// A TCP connection owned by one task. Destroying the stream closes the
/// connection; no hook is called after that.
class TcpStream {
public:
  using OnConnect = std::function<void(core::Status)>;

  TcpStream(Loop &loop, TcpStreamHooks hooks);
  ~TcpStream();
  TcpStream(const TcpStream &) = delete;
  TcpStream &operator=(const TcpStream &) = delete;

  /// `done` is called later, also if the attempt fails at once.
  void connect(const core::Address &address, OnConnect done);

  /// Accepts a pending connection of a listener and starts to read. Errors: Io.
  core::Status accept(uv_stream_s *listener);

  /// Queues bytes; they are written in order.
  void write(std::string data);

  /// Closes the connection so that the peer receives nothing that is still on
  /// its way; no hook is called after that.
  void reset();

  /// Returns the number of queued bytes that the kernel has not accepted yet.
  size_t pendingBytes() const;

private:
  struct State;
  std::shared_ptr<State> S;
};

} // namespace almondgate::task

#endif
