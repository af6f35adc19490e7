#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"

#include "http2_session.hpp"
#include "wire.hpp"

#include <cstring>
#include <map>
#include <optional>
#include <set>

namespace almondgate::protocol {

using core::Error;
using core::ErrorCode;

namespace {

// Beyond this a peer that does not read its answers is disconnected.
constexpr size_t MaxUnsentBytes = 128u << 20;

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(task::Loop &loop, const RpcOptions &options,
                   const RpcServerHooks &hooks)
      : Options(options), Hooks(hooks), Loop(loop) {}

  core::Status start(uv_stream_s *listener, const std::function<void()> &gone);
  void respond(int32_t stream, const core::Result<std::string> &answer);

private:
  void onMessage(int32_t id, IncomingStream &message);
  core::Result<Method> check(const IncomingStream &message);

  const RpcOptions &Options;
  const RpcServerHooks &Hooks;
  task::Loop &Loop;
  std::unique_ptr<task::TcpStream> Socket;
  std::unique_ptr<Http2Session> Session;
  std::set<int32_t> Open;
  bool Authenticated = false;
  bool Receiving = false;
};

core::Status ServerConnection::start(uv_stream_s *listener,
                                     const std::function<void()> &gone) {
  task::TcpStreamHooks socket_hooks;
  socket_hooks.OnData = [this, gone](std::string_view data) {
    Receiving = true;
    const bool good = Session->receive(data);
    Receiving = false;
    if (good)
      Session->flush();
    if (!good || Socket->pendingBytes() > MaxUnsentBytes)
      gone();
  };
  socket_hooks.OnClose = [gone](const Error &) { gone(); };
  Socket = std::make_unique<task::TcpStream>(Loop, std::move(socket_hooks));
  Http2SessionHooks hooks;
  hooks.Send = [this](std::string data) { Socket->write(std::move(data)); };
  hooks.OnMessage = [this](int32_t id, IncomingStream &message) {
    onMessage(id, message);
  };
  hooks.OnStreamClosed = [this](int32_t id) { Open.erase(id); };
  Session = std::make_unique<Http2Session>(true, Options.MaxBodyBytes,
                                           std::move(hooks));
  return Socket->accept(listener);
}

core::Result<Method> ServerConnection::check(const IncomingStream &message) {
  if (!Authenticated) {
    if (!core::equalConstantTime(message.header(SecretHeader), Options.Secret))
      return Error{ErrorCode::Unauthenticated, "wrong cluster secret"};
    Authenticated = true;
  }
  const std::string_view path = message.header(":path");
  if (path.substr(0, std::strlen(PathPrefix)) != PathPrefix)
    return Error{ErrorCode::NotFound,
                 "another version of the protocol: " + std::string(path)};
  return parseMethod(std::string(path.substr(std::strlen(PathPrefix))));
}

void ServerConnection::onMessage(int32_t id, IncomingStream &message) {
  Open.insert(id);
  const auto method = check(message);
  if (!method) {
    Hooks.OnRejected(method.error().Text);
    respond(id, method.error());
    return;
  }
  const std::weak_ptr<ServerConnection> weak = weak_from_this();
  Hooks.OnCall(method.value(), std::move(message.Body),
               [weak, id](const core::Result<std::string> &answer) {
                 if (const auto self = weak.lock())
                   self->respond(id, answer);
               });
}

void ServerConnection::respond(int32_t stream,
                               const core::Result<std::string> &answer) {
  if (Open.erase(stream) == 0)
    return;
  const char *status = answer ? "200" : "500";
  std::string body =
      answer ? answer.value() : encoding::encodeError(answer.error());
  Session->respond(stream, {{":status", status}}, std::move(body));
  if (!Receiving)
    Session->flush();
}

} // namespace

struct RpcServer::State {
  task::Loop &Loop;
  const RpcOptions Options;
  const RpcServerHooks Hooks;
  std::map<uint64_t, std::shared_ptr<ServerConnection>> Connections;
  uint64_t NextConnection = 0;
  std::unique_ptr<task::TcpListener> Listener;

  void accept(uv_stream_s *listener) {
    const uint64_t id = NextConnection++;
    const auto connection =
        std::make_shared<ServerConnection>(Loop, Options, Hooks);
    Connections.emplace(id, connection);
    const auto gone = [this, id] { drop(id); };
    if (!connection->start(listener, gone))
      drop(id);
  }

  // The connection is freed on a later turn: its own callback asks for this.
  void drop(uint64_t id) {
    const auto it = Connections.find(id);
    if (it == Connections.end())
      return;
    Loop.defer([held = std::move(it->second)] {});
    Connections.erase(it);
  }
};

RpcServer::RpcServer(task::Loop &loop, RpcOptions options, RpcServerHooks hooks)
    : S(new State{loop, std::move(options), std::move(hooks), {}, 0, nullptr}) {
  S->Listener = std::make_unique<task::TcpListener>(
      loop, [state = S.get()](uv_stream_s *l) { state->accept(l); });
}

RpcServer::~RpcServer() = default;

core::Status RpcServer::listen(const core::Address &address) {
  return S->Listener->listen(address);
}

} // namespace almondgate::protocol
