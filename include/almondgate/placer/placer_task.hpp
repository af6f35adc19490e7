#ifndef ALMONDGATE_PLACER_PLACER_TASK_HPP
#define ALMONDGATE_PLACER_PLACER_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/placer/placer_core.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/watcher.hpp"

namespace almondgate::placer {

/// Owns a placer's connections and the books of its pools.
class PlacerTask {
public:
  PlacerTask(task::Loop &loop, const config::PlacerSettings &settings);

  core::Status start();

  /// Gives the pools up and tells the control leader.
  void stop();
  /// After stop(): no pool names this placer any more.
  bool isHandoverComplete() const;

  std::string notReady() const;

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
