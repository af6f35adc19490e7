#ifndef ALMONDGATE_PROTOCOL_RPC_CLIENT_HPP
#define ALMONDGATE_PROTOCOL_RPC_CLIENT_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/budget_reading.hpp"
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

/// Calls other processes over the inner protocol, with one connection to
/// each. A connection is opened by the first call, and by the next call after
/// it was lost.
class RpcClient {
public:
  /// Receives the reply, the error that the peer returned, or Unavailable or
  /// DeadlineExceeded; after these two the peer may have executed the call.
  /// Overloaded with Outcome NotRun: too many bytes are held for peers, and the
  /// call was not sent or not executed.
  using OnReply = std::function<void(core::Result<std::string>)>;

  RpcClient(task::Loop &loop, const RpcOptions &options);
  ~RpcClient();
  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;

  /// Called right before a call is sent, which may be after a connection has
  /// been opened. False fails the call with Cancelled.
  using MaySend = std::function<bool()>;

  /// Calls `method` on the process at `to`; `done` receives the result.
  void call(const core::Address &to, Method method, std::string body,
            core::DurationMs timeout, OnReply done, MaySend may_send = {});

  /// Returns what calls that are not sent yet, and replies that are received,
  /// hold.
  core::BudgetReading budget() const;

private:
  struct State;
  std::shared_ptr<State> S;
};

} // namespace almondgate::protocol

#endif
