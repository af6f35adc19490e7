#ifndef ALMONDGATE_TASK_WAKEUP_HPP
#define ALMONDGATE_TASK_WAKEUP_HPP

#include <functional>

struct uv_async_s;

namespace almondgate::task {

class Loop;

/// Calls a function on its loop's thread soon after any thread requests it.
class Wakeup {
public:
  Wakeup(Loop &loop, std::function<void()> fn);
  ~Wakeup();
  Wakeup(const Wakeup &) = delete;
  Wakeup &operator=(const Wakeup &) = delete;

  /// Requests a call. May be called on any thread.
  void request();

private:
  uv_async_s *Handle;
  std::function<void()> Fn;
};

} // namespace almondgate::task

#endif
