#ifndef ALMONDGATE_TASK_TIMER_HPP
#define ALMONDGATE_TASK_TIMER_HPP

#include "almondgate/core/duration_ms.hpp"

#include <functional>

struct uv_timer_s;

namespace almondgate::task {

class Loop;

/// Calls a function once or repeatedly on its loop's thread. Destroying the
/// timer stops it.
class Timer {
public:
  explicit Timer(Loop &loop);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Starts the timer; a later call replaces the function and the time.
  void once(core::DurationMs after, std::function<void()> fn);
  void every(core::DurationMs period, std::function<void()> fn);
  void stop();

private:
  uv_timer_s *Handle;
  std::function<void()> Fn;
};

} // namespace almondgate::task

#endif
