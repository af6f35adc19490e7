#ifndef ALMONDGATE_WATCH_CONTROL_CLIENT_HPP
#define ALMONDGATE_WATCH_CONTROL_CLIENT_HPP

#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/leader_tracker.hpp"

#include <memory>
#include <vector>

namespace almondgate::watch {

/// Calls the control leader, whichever member that is. A call that finds none
/// is tried again until its time is over, so only calls that may be carried out
/// twice belong here.
class ControlClient {
public:
  ControlClient(task::Loop &loop, protocol::RpcClient &rpc,
                std::vector<core::Address> members);

  void call(protocol::Method method, std::string body, core::DurationMs timeout,
            protocol::RpcClient::OnReply done);

  /// Replaces the members; calls under way go on.
  void setMembers(std::vector<core::Address> members);

private:
  struct Attempt;
  void start(const std::shared_ptr<Attempt> &attempt);
  void onReply(const std::shared_ptr<Attempt> &attempt,
               const core::Address &asked, core::Result<std::string> reply);

  task::Loop &Loop;
  protocol::RpcClient &Rpc;
  LeaderTracker Guess;
};

} // namespace almondgate::watch

#endif
