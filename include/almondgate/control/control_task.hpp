#ifndef ALMONDGATE_CONTROL_CONTROL_TASK_HPP
#define ALMONDGATE_CONTROL_CONTROL_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/control/control_core.hpp"
#include "almondgate/control/storage_task.hpp"
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

namespace almondgate::control {

/// Owns a control member's connections and its replicated log.
class ControlTask {
public:
  /// Called once when the disk failed: the process must end.
  using OnFailure = std::function<void(const core::Error &)>;

  /// `gateway` holds the calls to endpoints and services; the task fills in
  /// the rest. Without them the member keeps state and runs no jobs.
  ControlTask(task::Loop &loop, const config::ControlSettings &settings,
              std::unique_ptr<storage::Store> store, OnFailure failed,
              dispatch::DispatcherHooks gateway = {});

  core::Status start();

  /// Makes a call to the leader, which may be this member. Errors given:
  /// NotLeader where none is known, and those of the call.
  void callLeader(protocol::Method method, std::string body,
                  const protocol::Responder &done);

  /// Where the leader is; nothing while none is known.
  std::optional<core::Address> leaderAddress() const;

  void stepDown() { Core.stepDown(); }
  bool isLeader() const { return Core.isLeader(); }
  std::string notReady() const;
  std::string metricsText() const;

private:
  ControlHooks coreHooks();
  protocol::RpcServerHooks serverHooks();
  void onCall(protocol::Method method, const std::string &body,
              const protocol::Responder &respond);
  /// False for a method that is not about jobs.
  bool onJobCall(protocol::Method method, const std::string &body,
                 const protocol::Responder &respond);
  dispatch::DispatcherHooks dispatcherHooks(dispatch::DispatcherHooks gateway);
  void onLeading(bool leads);
  void onTick();
  void askToJoin();
  void onWritten(const core::Status &status);
  void send(const consensus::Message &message);

  const config::ControlSettings Settings;
  const consensus::MemberId Identity;
  const consensus::DurableState Found;
  const OnFailure Failed;
  std::minstd_rand Random;
  protocol::RpcClient Rpc;
  protocol::RpcServer Inner;
  /// Where members that sent messages are reached.
  std::map<consensus::MemberId, core::Address> Heard;
  task::Mailbox<core::Status> Written;
  bool DiskFull = false;
  StorageTask Storage;
  task::Loop &Loop;
  observe::Metrics Metrics;
  ControlCore Core;
  dispatch::Dispatcher Jobs;
  task::Timer Ticker;
  core::TimeMs JobsDue;
  core::TimeMs JoinDue;
};

} // namespace almondgate::control

#endif
