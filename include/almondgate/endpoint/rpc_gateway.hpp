#ifndef ALMONDGATE_ENDPOINT_RPC_GATEWAY_HPP
#define ALMONDGATE_ENDPOINT_RPC_GATEWAY_HPP

#include "almondgate/dispatch/dispatcher_hooks.hpp"
#include "almondgate/protocol/rpc_client.hpp"

#include <string>

namespace almondgate::endpoint {

/// Sends orders to endpoints over the inner protocol.
class RpcGateway {
public:
  RpcGateway(task::Loop &loop, const protocol::RpcOptions &options);

  /// Hooks that let a dispatcher send orders; the gateway must outlive them.
  dispatch::DispatcherHooks hooks();

private:
  void sendOrder(const core::Address &to, protocol::Method method,
                 std::string body, const protocol::RpcClient::MaySend &may_send,
                 const std::function<void(dispatch::OrderReply)> &done);

  protocol::RpcClient Rpc;
};

} // namespace almondgate::endpoint

#endif
