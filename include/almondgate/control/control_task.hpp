#ifndef ALMONDGATE_CONTROL_CONTROL_TASK_HPP
#define ALMONDGATE_CONTROL_CONTROL_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/control/control_core.hpp"
#include "almondgate/control/storage_task.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/storage/store.hpp"
#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace almondgate::control {

/// Owns a control member's connections and its replicated log.
class ControlTask {
public:
  /// Called once when the disk failed: the process must end.
  using OnFailure = std::function<void(const core::Error &)>;

  ControlTask(task::Loop &loop, const config::ControlSettings &settings,
              std::unique_ptr<storage::Store> store, OnFailure failed);

  core::Status start();

  void stepDown() { Core.stepDown(); }
  bool leads() const { return Core.leads(); }
  std::string notReady() const;
  std::string metricsText() const;

private:
  ControlHooks coreHooks();
  protocol::RpcServerHooks serverHooks();
  void onCall(protocol::Method method, const std::string &body,
              const protocol::Responder &respond);
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
  StorageTask Storage;
  ControlCore Core;
  task::Timer Ticker;
};

} // namespace almondgate::control

#endif
