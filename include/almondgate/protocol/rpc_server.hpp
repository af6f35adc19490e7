#ifndef ALMONDGATE_PROTOCOL_RPC_SERVER_HPP
#define ALMONDGATE_PROTOCOL_RPC_SERVER_HPP

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

/// Answers one call; later calls of it, or after the caller has gone, do
/// nothing.
using Responder = std::function<void(core::Result<std::string>)>;

/// What a process does with the inner protocol's events.
struct RpcServerHooks {
  std::function<void(Method, std::string body, Responder)> OnCall;
  /// A peer with a wrong secret, version or method was turned away.
  std::function<void(const std::string &reason)> OnRejected;
};

/// Serves the inner protocol on one address.
class RpcServer {
public:
  RpcServer(task::Loop &loop, RpcOptions options, RpcServerHooks hooks);
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  core::Status listen(const core::Address &address);

private:
  struct State;
  std::shared_ptr<State> S;
};

} // namespace almondgate::protocol

#endif
