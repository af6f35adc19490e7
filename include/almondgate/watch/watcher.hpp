#ifndef ALMONDGATE_WATCH_WATCHER_HPP
#define ALMONDGATE_WATCH_WATCHER_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/control_client.hpp"

#include <functional>

namespace almondgate::watch {

/// What a process adds to its heartbeat, and does with the answer.
struct WatcherHooks {
  /// Adds demands and VMs.
  std::function<void(model::WatchRequest &)> FillRequest;
  /// The view or the list of processes is new, or was confirmed again.
  std::function<void()> OnReply;
};

/// Follows the configuration: one poll is always waiting at the control leader.
class Watcher {
public:
  Watcher(task::Loop &loop, ControlClient &control, model::ProcessInfo self,
          WatcherHooks hooks);

  void start();

  /// Polls at once, beside the poll that waits.
  void pollNow();

  /// From now on the heartbeats say that the process stops.
  void setStopping();

  const model::View &view() const { return View; }
  const std::vector<model::ProcessInfo> &processes() const { return Processes; }
  /// Portions that the last answer asked to return.
  const std::vector<model::Portion> &returns() const { return Returns; }
  /// The latest time at which the view is known to have been complete.
  core::TimeMs confirmedAt() const { return ConfirmedAt; }

private:
  void poll(bool again);
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
