#ifndef ALMONDGATE_ENDPOINT_RPC_GATEWAY_HPP
#define ALMONDGATE_ENDPOINT_RPC_GATEWAY_HPP

#include "almondgate/core/budget_reading.hpp"
#include "almondgate/dispatch/dispatcher_hooks.hpp"
#include "almondgate/dispatch/order_budget.hpp"
#include "almondgate/protocol/rpc_client.hpp"

#include <string>
#include <vector>

namespace almondgate::endpoint {

/// Sends orders to endpoints over the inner protocol.
class RpcGateway {
public:
  /// Orders that wait for an answer take up at most about `order_bytes`.
  RpcGateway(task::Loop &loop, const protocol::RpcOptions &options,
             size_t order_bytes);

  /// Hooks that let a dispatcher send orders; the gateway must outlive them.
  dispatch::DispatcherHooks hooks();

  std::vector<core::BudgetReading> budgets() const {
    return {core::readBudget("orders", Orders.bytes())};
  }

private:
  void sendOrder(const core::Address &to, protocol::Method method,
                 std::string body, const protocol::RpcClient::MaySend &may_send,
                 const std::function<void(dispatch::OrderReply)> &done);

  dispatch::OrderBudget Orders;
  protocol::RpcClient Rpc;
};

} // namespace almondgate::endpoint

#endif
