#ifndef ALMONDGATE_PROTOCOL_RPC_SERVER_HPP
#define ALMONDGATE_PROTOCOL_RPC_SERVER_HPP

#include "almondgate/core/budget_reading.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/protocol/method.hpp"
#include "almondgate/protocol/rpc_options.hpp"

#include <functional>
#include <memory>
#include <string>

namespace almondgate::core {
struct Address;
} // namespace almondgate::core

namespace almondgate::task {
class Loop;
} // namespace almondgate::task

namespace almondgate::protocol {

/// Sends the reply to one call. Has no effect if the call was already answered
/// or its connection or stream has closed.
using Responder = std::function<void(core::Result<std::string>)>;

/// Callbacks of an RpcServer.
struct RpcServerHooks {
  /// A call was received; the responder may be invoked later. A call whose
  /// handler throws is answered with an error and reported to OnRejected.
  std::function<void(Method, std::string body, Responder)> OnCall;
  /// A call with a wrong secret, protocol version or method was rejected.
  std::function<void(const std::string &reason)> OnRejected;
};

/// Serves the inner protocol on one address.
class RpcServer {
public:
  RpcServer(task::Loop &loop, const RpcOptions &options, RpcServerHooks hooks);
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  /// Errors: those of task::TcpListener::listen().
  core::Status listen(const core::Address &address);

  /// Returns what calls that are received or open, and replies that are not
  /// sent yet, hold.
  core::BudgetReading budget() const;

private:
  struct State;
  std::shared_ptr<State> S;
};

} // namespace almondgate::protocol

#endif
