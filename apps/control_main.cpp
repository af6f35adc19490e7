#include "control_program.hpp"

#include "almondgate/endpoint/rpc_gateway.hpp"

using namespace almondgate;

int main(int argc, char **argv) {
  return apps::controlMain(
      argc, argv, [](task::Loop &loop, const auto &s, const auto &descriptors) {
        const auto gateway = std::make_shared<endpoint::RpcGateway>(
            loop,
            protocol::rpcOptions(s.Common.Secret, s.Common.Memory, descriptors),
            s.Common.Memory.Orders);
        apps::ControlAdapter adapter;
        adapter.Gateway = gateway->hooks();
        adapter.Budgets = [gateway] { return gateway->budgets(); };
        return adapter;
      });
}
