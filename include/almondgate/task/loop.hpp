#ifndef ALMONDGATE_TASK_LOOP_HPP
#define ALMONDGATE_TASK_LOOP_HPP

#include "almondgate/core/duration_ms.hpp"

#include <functional>
#include <memory>

struct uv_loop_s;

namespace almondgate::task {

/// Owns a libuv loop. The tasks of one loop run on one thread, one callback at
/// a time; the thread sleeps in the kernel while nothing is due.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Runs callbacks until stop() is called.
  void run();

  /// Makes run() return after the current callback. Call on the loop's thread.
  void stop();

  /// Runs `fn` once, in a later iteration of the loop and after the delay. Call
  /// on the loop's thread.
  void defer(std::function<void()> fn, core::DurationMs delay = {});

  uv_loop_s *raw() const { return Uv.get(); }

private:
  std::unique_ptr<uv_loop_s> Uv;
};

} // namespace almondgate::task

#endif
