#ifndef ALMONDGATE_TASK_TCP_LISTENER_HPP
#define ALMONDGATE_TASK_TCP_LISTENER_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/task/timer.hpp"

#include <functional>
#include <optional>

struct uv_check_s;
struct uv_idle_s;
struct uv_tcp_s;
struct uv_stream_s;

namespace almondgate::task {

class Loop;

/// The functions that a listener calls.
struct TcpListenerHooks {
  /// Accepts a connection from the stream.
  std::function<void(uv_stream_s *)> OnConnection;
  /// Asked before each OnConnection. If it returns false, the connection and
  /// all later ones wait; it is asked again by resume() and at intervals.
  std::function<bool()> MayAccept = [] { return true; };
  /// The listener stops accepting for a while.
  std::function<void()> OnPause = [] {};
};

/// Listens for connections and calls a function that accepts each of them.
class TcpListener {
public:
  using OnConnection = std::function<void(uv_stream_s *)>;

  TcpListener(Loop &loop, OnConnection fn);
  TcpListener(Loop &loop, TcpListenerHooks hooks);
  ~TcpListener();
  TcpListener(const TcpListener &) = delete;
  TcpListener &operator=(const TcpListener &) = delete;

  /// Listens at once, or tries again until close() while the address is in use
  /// or not assigned to the VM, or descriptors or memory are short. Errors:
  /// InvalidArgument; Io, with the address and the system's reason.
  core::Status listen(const core::Address &address);

  bool isListening() const { return Handle || Spare; }

  /// Accepts connections that wait since MayAccept returned false.
  void resume();

  /// Stops listening. Connections that wait to be accepted are reset.
  void close();

  /// Stops listening once no connection waits to be accepted. A connection that
  /// arrives in the instant of the close is still reset.
  void closeOnceDrained();

private:
  int tryToListen();
  int startListening(uv_tcp_s *handle);
  void listenAgain();
  void onIncoming(int status);
  void pause(int error);
  int reopen();
  void reopenLater();
  void closeIfDrained();

  Loop &Owner;
  core::Address At;
  /// Set while it listens.
  uv_tcp_s *Handle = nullptr;
  /// A second descriptor of the listening socket. It keeps the queue of the
  /// socket while a handle that fails to accept is closed.
  std::optional<int> Spare;
  /// A connection waits because MayAccept returned false.
  bool Waiting = false;
  /// Accepting has failed since a connection was last accepted.
  bool Failing = false;
  /// Run in each iteration of the loop while the listener is being drained.
  uv_check_s *AfterPoll = nullptr;
  uv_idle_s *KeepPolling = nullptr;
  /// Connections accepted in this iteration.
  int Accepted = 0;
  int Iterations = 0;
  const TcpListenerHooks Hooks;
  Timer Retry;
};

} // namespace almondgate::task

#endif
