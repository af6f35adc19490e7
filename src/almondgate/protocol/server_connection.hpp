#ifndef ALMONDGATE_PROTOCOL_SERVER_CONNECTION_HPP
#define ALMONDGATE_PROTOCOL_SERVER_CONNECTION_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/tcp_stream.hpp"

#include "http2_session.hpp"

#include <map>
#include <memory>

namespace almondgate::protocol {

/// A connection that an RpcServer has accepted. Until its first call has shown
/// the secret, it may send little and has little time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(task::Loop &loop, const RpcOptions &options,
                   const RpcServerHooks &hooks,
                   std::shared_ptr<PeerBudget> budget);

  /// `on_close` is called when the connection is to be dropped,
  /// `on_authenticated` once it has shown the secret.
  core::Status start(uv_stream_s *listener, std::function<void()> on_close,
                     std::function<void()> on_authenticated);

  bool authenticated() const { return Authenticated; }

  /// True if the connection must be dropped: it has not shown the secret in
  /// time, or its peer reads no replies. Call regularly.
  bool isOverdue(core::TimeMs now);

private:
  struct OpenCall {
    Method CallMethod;
    HeldBytes Held;
  };

  void openSession();
  void onData(std::string_view data);
  bool onHeaders(int32_t id, IncomingStream &message);
  bool authenticate(int32_t id, const IncomingStream &message);
  core::Result<Method> parseCall(const IncomingStream &message) const;
  void onMessage(int32_t id, IncomingStream &message);
  void respond(int32_t id, core::Result<std::string> reply);
  void respondError(int32_t id, const core::Error &error);
  HeldBytes holdReply(Method method, core::Result<std::string> &reply);

  const RpcOptions &Options;
  const RpcServerHooks &Hooks;
  task::Loop &Loop;
  const std::shared_ptr<PeerShare> Share;
  std::function<void()> OnClose;
  std::function<void()> OnAuthenticated;
  std::unique_ptr<task::TcpStream> Socket;
  std::unique_ptr<Http2Session> Session;
  std::map<int32_t, OpenCall> OpenCalls;
  core::TimeMs AcceptedAt;
  size_t ReceivedBytes = 0;
  uint64_t SentBytes = 0;
  core::TimeMs ProgressAt;
  bool Authenticated = false;
  /// The secret was wrong: the error is sent, and nothing more is read.
  bool Rejected = false;
  bool Receiving = false;
};

} // namespace almondgate::protocol

#endif
