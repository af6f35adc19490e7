#ifndef ALMONDGATE_WATCH_WATCHER_HPP
#define ALMONDGATE_WATCH_WATCHER_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/control_client.hpp"

#include <functional>

namespace almondgate::watch {

/// Hooks that fill the heartbeat of a process and handle its reply.
struct WatcherHooks {
  /// Adds the process's demands and VMs to the request.
  std::function<void(model::WatchRequest &)> FillRequest;
  /// Called after each reply: the view and the list of processes were updated
  /// or confirmed.
  std::function<void()> OnReply;
};

/// Follows the configuration by long polling the control leader.
class Watcher {
public:
  Watcher(task::Loop &loop, ControlClient &control, model::ProcessInfo self,
          WatcherHooks hooks);

  void start();

  /// Polls immediately, in parallel with the pending long poll.
  void pollNow();

  /// Marks the process as stopping in all further heartbeats.
  void setStopping();

  const model::View &view() const { return View; }
  const std::vector<model::ProcessInfo> &processes() const { return Processes; }
  /// Portions that the last reply requested back.
  const std::vector<model::Portion> &returns() const { return Returns; }
  /// The latest time at which the view is known to have been complete.
  core::TimeMs confirmedAt() const { return ConfirmedAt; }

private:
  void poll(bool repeat);
  void onReply(const core::Result<std::string> &reply, core::TimeMs sent);
  void apply(const model::WatchReply &reply);

  ControlClient &Control;
  const model::ProcessInfo Self;
  const WatcherHooks Hooks;
  task::Timer Retry;
  model::View View;
  std::vector<model::ProcessInfo> Processes;
  std::vector<model::Portion> Returns;
  core::TimeMs ConfirmedAt{INT64_MIN / 2};
  bool Stopping = false;
};

} // namespace almondgate::watch

#endif
