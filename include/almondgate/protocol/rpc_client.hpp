#ifndef ALMONDGATE_PROTOCOL_RPC_CLIENT_HPP
#define ALMONDGATE_PROTOCOL_RPC_CLIENT_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/protocol/method.hpp"
#include "almondgate/protocol/rpc_options.hpp"

#include <functional>
#include <memory>
#include <string>

namespace almondgate::task {
class Loop;
} // namespace almondgate::task

namespace almondgate::protocol {

/// Calls other processes, over one connection to each, which is opened at the
/// first call and again after it broke.
class RpcClient {
public:
  /// Gets the answer, the error that the peer gave, or Unavailable or
  /// DeadlineExceeded; after these two the call may have been carried out.
  using OnReply = std::function<void(core::Result<std::string>)>;

  RpcClient(task::Loop &loop, RpcOptions options);
  ~RpcClient();
  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;

  void call(const core::Address &to, Method method, std::string body,
            core::DurationMs timeout, OnReply done);

private:
  struct State;
  std::shared_ptr<State> S;
};

} // namespace almondgate::protocol

#endif
