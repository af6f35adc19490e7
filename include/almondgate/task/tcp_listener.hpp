#ifndef ALMONDGATE_TASK_TCP_LISTENER_HPP
#define ALMONDGATE_TASK_TCP_LISTENER_HPP

#include "almondgate/core/result.hpp"

#include <functional>

struct uv_tcp_s;
struct uv_stream_s;

namespace almondgate::core {
struct Address;
} // namespace almondgate::core

namespace almondgate::task {

class Loop;

/// Listens for connections and calls a function that accepts each of them.
class TcpListener {
public:
  using OnConnection = std::function<void(uv_stream_s *)>;

  TcpListener(Loop &loop, OnConnection fn);
  ~TcpListener();
  TcpListener(const TcpListener &) = delete;
  TcpListener &operator=(const TcpListener &) = delete;

  /// Errors: InvalidArgument; Io, with the address and the system's reason.
  core::Status listen(const core::Address &address);

  /// Stops listening.
  void close();

private:
  uv_tcp_s *Handle;
  OnConnection Fn;
};

} // namespace almondgate::task

#endif
