#ifndef ALMONDGATE_TASK_THREAD_HPP
#define ALMONDGATE_TASK_THREAD_HPP

#include <functional>
#include <memory>
#include <thread>

namespace almondgate::task {

class Loop;
class Wakeup;

/// Runs a Loop on a thread of its own until destroyed.
class Thread {
public:
  Thread();
  ~Thread();
  Thread(const Thread &) = delete;
  Thread &operator=(const Thread &) = delete;

  /// Returns the loop on which to build tasks, before start().
  Loop &loop() { return *Owned; }

  /// Starts the thread.
  void start();

  /// Stops the loop and joins the thread; then its tasks may be destroyed.
  void stop();

private:
  std::unique_ptr<Loop> Owned;
  std::unique_ptr<Wakeup> StopRequest;
  std::thread Runner;
};

} // namespace almondgate::task

#endif
