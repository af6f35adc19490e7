#ifndef ALMONDGATE_TASK_SIGNAL_WATCHER_HPP
#define ALMONDGATE_TASK_SIGNAL_WATCHER_HPP

#include <functional>

struct uv_signal_s;

namespace almondgate::task {

class Loop;

/// Calls a function on its loop's thread for each delivery of one signal.
class SignalWatcher {
public:
  SignalWatcher(Loop &loop, int signal, std::function<void()> fn);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher &) = delete;
  SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
  uv_signal_s *Handle;
  std::function<void()> Fn;
};

} // namespace almondgate::task

#endif
