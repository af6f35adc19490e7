#ifndef ALMONDGATE_CONTROL_HEARTBEAT_RELAY_HPP
#define ALMONDGATE_CONTROL_HEARTBEAT_RELAY_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/heartbeat_batch.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace almondgate::control {

/// The functions that a HeartbeatRelay needs from its member.
struct HeartbeatRelayHooks {
  using OnReply = std::function<void(core::Result<jobs::HeartbeatReply>)>;

  /// Sends a batch to the leader; answered exactly once, with NotFound by a
  /// leader of a version without batches.
  std::function<void(const jobs::HeartbeatBatch &, OnReply)> Send;
  /// Sends a single heartbeat to the leader; answered exactly once.
  std::function<void(const jobs::EndpointHeartbeat &,
                     std::function<void(core::Status)>)>
      SendOne;
  /// Runs a function once, after the delay.
  std::function<void(core::DurationMs, std::function<void()>)> Defer;
  core::Clock Now = core::monotonicNow;
};

/// Forwards heartbeats to the leader in batches. One batch is in flight; what
/// arrives meanwhile goes in the next one. A batch that finds no leader is sent
/// again for a while.
class HeartbeatRelay {
public:
  /// Receives the inner address of the member to which the endpoint is to send
  /// its next heartbeats, if one is known. Errors: those of the leader and of
  /// the call.
  using OnAnswer =
      std::function<void(core::Result<std::optional<core::Address>>)>;

  explicit HeartbeatRelay(HeartbeatRelayHooks hooks)
      : Hooks(std::move(hooks)) {}

  void add(const jobs::EndpointHeartbeat &heartbeat, OnAnswer done);

private:
  struct Pending {
    jobs::EndpointHeartbeat Heartbeat;
    OnAnswer Done;
    core::TimeMs Since;
  };

  void sendNext();
  void send();
  void sendEach();
  void onReply(const core::Result<jobs::HeartbeatReply> &reply);

  const HeartbeatRelayHooks Hooks;
  std::vector<Pending> Queue;
  /// The batch that is in flight or is about to be sent again.
  std::vector<Pending> InFlight;
};

} // namespace almondgate::control

#endif
