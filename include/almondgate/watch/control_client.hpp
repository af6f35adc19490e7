#ifndef ALMONDGATE_WATCH_CONTROL_CLIENT_HPP
#define ALMONDGATE_WATCH_CONTROL_CLIENT_HPP

#include "almondgate/core/budget_reading.hpp"
#include "almondgate/core/memory_plan.hpp"
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
  /// `max_held_bytes` limits what waiting calls hold.
  ControlClient(task::Loop &loop, protocol::RpcClient &rpc,
                std::vector<core::Address> members,
                size_t max_held_bytes = core::planMemory(0).Peers / 2);

  /// Errors: Overloaded, with Outcome NotRun, if too many calls wait; and those
  /// of RpcClient::call().
  void call(protocol::Method method, std::string body, core::DurationMs timeout,
            protocol::RpcClient::OnReply done);

  /// Replaces the members; calls in progress continue.
  void setMembers(std::vector<core::Address> members);

  /// Returns what calls that wait for a leader's reply hold.
  core::BudgetReading budget() const;

private:
  struct PendingCall;
  void finish(const std::shared_ptr<PendingCall> &call,
              core::Result<std::string> reply);
  void sendAttempt(const std::shared_ptr<PendingCall> &call);
  void onReply(const std::shared_ptr<PendingCall> &call,
               const core::Address &member, core::Result<std::string> reply);

  task::Loop &Loop;
  protocol::RpcClient &Rpc;
  LeaderTracker Leader;
  core::ByteBudget Held;
};

} // namespace almondgate::watch

#endif
