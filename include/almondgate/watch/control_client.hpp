#ifndef ALMONDGATE_WATCH_CONTROL_CLIENT_HPP
#define ALMONDGATE_WATCH_CONTROL_CLIENT_HPP

#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/leader_tracker.hpp"

#include <memory>
#include <vector>

namespace almondgate::watch {

/// Calls the current control leader. A call that reaches no leader is retried
/// until its timeout, so only calls that may be carried out twice may use it.
class ControlClient {
public:
  ControlClient(task::Loop &loop, protocol::RpcClient &rpc,
                std::vector<core::Address> members);

  void call(protocol::Method method, std::string body, core::DurationMs timeout,
            protocol::RpcClient::OnReply done);

  /// Replaces the members; calls in progress continue.
  void setMembers(std::vector<core::Address> members);

private:
  struct PendingCall;
  void sendAttempt(const std::shared_ptr<PendingCall> &call);
  void onReply(const std::shared_ptr<PendingCall> &call,
               const core::Address &member, core::Result<std::string> reply);

  task::Loop &Loop;
  protocol::RpcClient &Rpc;
  LeaderTracker Leader;
};

} // namespace almondgate::watch

#endif
