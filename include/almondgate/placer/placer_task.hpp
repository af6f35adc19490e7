#ifndef ALMONDGATE_PLACER_PLACER_TASK_HPP
#define ALMONDGATE_PLACER_PLACER_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/placer/placer_core.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/watcher.hpp"

namespace almondgate::placer {

/// The placer process: owns its connections and timers, and runs a PlacerCore.
class PlacerTask {
public:
  PlacerTask(task::Loop &loop, const config::PlacerSettings &settings,
             const std::shared_ptr<task::DescriptorBudget> &descriptors = {});

  /// Starts listening and watching. Errors: those of RpcServer::listen().
  core::Status start();

  /// Drops all pools and reports to the control leader that this placer is
  /// stopping.
  void stop();
  /// After stop(): whether the view assigns no pool to this placer any more.
  bool isHandoverComplete() const;

  /// Why the placer is not ready; empty when it is.
  std::string notReady() const;

  /// Returns the state of the byte budgets of its calls to other processes.
  std::vector<core::BudgetReading> budgets() const;

private:
  PlacerHooks coreHooks();
  watch::WatcherHooks watcherHooks();
  protocol::RpcServerHooks serverHooks();
  void onCall(protocol::Method method, const std::string &body,
              const protocol::Responder &respond);

  const config::PlacerSettings Settings;
  const model::ProcessInfo Self;
  protocol::RpcClient Rpc;
  protocol::RpcServer Inner;
  watch::ControlClient Control;
  watch::Watcher Watch;
  PlacerCore Core;
  task::Timer Ticker;
};

} // namespace almondgate::placer

#endif
