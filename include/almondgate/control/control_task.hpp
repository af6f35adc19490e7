#ifndef ALMONDGATE_CONTROL_CONTROL_TASK_HPP
#define ALMONDGATE_CONTROL_CONTROL_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/control/control_core.hpp"
#include "almondgate/control/heartbeat_relay.hpp"
#include "almondgate/control/storage_task.hpp"
#include "almondgate/core/budget_reading.hpp"
#include "almondgate/dispatch/dispatcher.hpp"
#include "almondgate/observe/metrics.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/storage/store.hpp"
#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace almondgate::control {

/// Runs a control member: owns its connections, its storage and its job
/// dispatcher.
class ControlTask {
public:
  /// Called once, when what was durable can no longer be read from the disk:
  /// the process must exit.
  using OnFailure = std::function<void(const core::Error &)>;

  /// `gateway` provides the calls to endpoints and services; the task sets the
  /// other hooks. Without these calls the member replicates state and runs no
  /// jobs.
  ControlTask(task::Loop &loop, const config::ControlSettings &settings,
              std::unique_ptr<storage::Store> store, OnFailure on_failure,
              dispatch::DispatcherHooks gateway = {},
              const std::shared_ptr<task::DescriptorBudget> &descriptors = {});

  /// Starts to listen and to tick. Errors: those of RpcServer::listen().
  core::Status start();

  /// Calls the leader, which may be this member. `done` receives as errors
  /// NotLeader if no leader is known, and those of the call.
  void callLeader(protocol::Method method, std::string body,
                  const protocol::Responder &done);

  /// Passes a checked configuration to the leader, which may be this member.
  /// Encodes it only for another member. `done` receives as errors NotLeader if
  /// no leader is known, and those of the call.
  void configure(const jobs::FleetConfig &config,
                 const std::function<void(const core::Status &)> &done);

  /// Passes an endpoint's heartbeat to the leader, which may be this member.
  void handleHeartbeat(const jobs::EndpointHeartbeat &heartbeat,
                       const HeartbeatRelay::OnAnswer &done);

  /// The leader's inner address; nothing if no leader is known.
  std::optional<core::Address> leaderAddress() const;

  /// Hands leadership over, once the orders that are outstanding are known to
  /// the next leader.
  void stepDown() {
    Jobs.prepareHandOver([this] { Core.stepDown(); });
  }
  bool isLeader() const { return Core.isLeader(); }
  /// Why the member is not ready to serve; empty if it is ready.
  std::string notReady() const;
  /// The metrics in the Prometheus text format.
  std::string metricsText() const;

  /// Returns the state of the byte budgets of its sockets and its state.
  std::vector<core::BudgetReading> budgets() const;

private:
  using OnHeartbeatReply = HeartbeatRelayHooks::OnReply;

  ControlHooks coreHooks();
  void readConfigAnswer(const protocol::Responder &respond);
  HeartbeatRelayHooks heartbeatHooks();
  /// Serves a heartbeat as the leader.
  void serveHeartbeat(const jobs::EndpointHeartbeat &heartbeat,
                      const dispatch::Dispatcher::OnStatus &done);
  /// Serves a batch as the leader; `done` receives the results once all
  /// heartbeats are served.
  void serveHeartbeats(const jobs::HeartbeatBatch &batch,
                       const OnHeartbeatReply &done);
  /// Inner addresses of the members that take heartbeats, as the leader sees
  /// them.
  std::vector<core::Address> reachableMembers() const;
  protocol::RpcServerHooks serverHooks();
  void onCall(protocol::Method method, const std::string &body,
              const protocol::Responder &respond);
  void onConsensusCall(const std::string &body,
                       const protocol::Responder &respond);
  /// Serves a call about jobs. Returns false for any other method.
  bool onJobCall(protocol::Method method, const std::string &body,
                 const protocol::Responder &respond);
  dispatch::DispatcherHooks dispatcherHooks(dispatch::DispatcherHooks gateway);
  void onLeadershipChange(bool leading);
  void onTick();
  void requestToJoin();
  void onBatchWritten(const core::Status &status);
  void send(consensus::Message message);

  const config::ControlSettings Settings;
  const consensus::MemberId Identity;
  /// Read before `Storage` takes the store over; Core takes it.
  consensus::DurableState Recovered;
  const OnFailure ReportFailure;
  std::minstd_rand Random;
  protocol::RpcClient Rpc;
  protocol::RpcServer Inner;
  /// Sender addresses of received messages. Used to reach members that this
  /// member's membership does not contain yet.
  std::map<consensus::MemberId, core::Address> PeerAddresses;
  /// When each member last sent a message to this one.
  std::map<consensus::MemberId, core::TimeMs> HeardAt;
  task::Mailbox<core::Status> WriteResults;
  /// The error of the writes that are being retried.
  std::optional<core::Error> DiskError;
  StorageTask Storage;
  task::Loop &Loop;
  observe::Metrics Metrics;
  ControlCore Core;
  dispatch::Dispatcher Jobs;
  HeartbeatRelay Heartbeats;
  task::Timer Ticker;
  core::TimeMs JobsDue;
  core::TimeMs JoinDue;
};

} // namespace almondgate::control

#endif
