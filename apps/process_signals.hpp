#ifndef ALMONDGATE_APPS_PROCESS_SIGNALS_HPP
#define ALMONDGATE_APPS_PROCESS_SIGNALS_HPP

#include "almondgate/task/signal_watcher.hpp"

#include <functional>

namespace almondgate::apps {

/// The signals of a process: SIGTERM and SIGINT stop it, SIGHUP is logged, and
/// others that would end it without a fault of its own are ignored. From the
/// start of the process, before the libraries are initialized, the first three
/// are held back until an object of this class exists.
class ProcessSignals {
public:
  /// Calls `stop` on the loop's thread, also for a signal that was held back.
  ProcessSignals(task::Loop &loop, const std::function<void()> &stop);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals &) = delete;
  ProcessSignals &operator=(const ProcessSignals &) = delete;

private:
  const task::SignalWatcher Terminate;
  const task::SignalWatcher Interrupt;
  const task::SignalWatcher Reload;
};

/// True if a stop was requested while no ProcessSignals existed.
bool isStopPending();

} // namespace almondgate::apps

#endif
