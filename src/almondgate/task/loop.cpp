#include "almondgate/task/loop.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/task/signal_watcher.hpp"
#include "almondgate/task/thread.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/task/wakeup.hpp"

#include "uv_handle.hpp"

namespace almondgate::task {

Loop::Loop() : Uv(std::make_unique<uv_loop_t>()) {
  core::invariant(uv_loop_init(Uv.get()) == 0, "uv_loop_init failed");
  Uv->data = this;
}

// Closes the remaining handles. Deferred functions are dropped: what they refer
// to may have been destroyed.
Loop::~Loop() {
  Uv->data = nullptr;
  uv_run(Uv.get(), UV_RUN_NOWAIT);
  uv_run(Uv.get(), UV_RUN_NOWAIT);
  uv_loop_close(Uv.get());
}

void Loop::run() { uv_run(Uv.get(), UV_RUN_DEFAULT); }

void Loop::stop() { uv_stop(Uv.get()); }

void Loop::defer(std::function<void()> fn, core::DurationMs delay) {
  auto *timer = new uv_timer_t;
  uv_timer_init(Uv.get(), timer);
  timer->data = new std::function<void()>(std::move(fn));
  const auto fire = [](uv_timer_t *fired) {
    auto *deferred = static_cast<std::function<void()> *>(fired->data);
    if (fired->loop->data)
      (*deferred)();
    delete deferred;
    closeHandle(fired);
  };
  uv_timer_start(timer, fire, uint64_t(delay.Count), 0);
}

Timer::Timer(Loop &loop) : Handle(new uv_timer_t) {
  uv_timer_init(loop.raw(), Handle);
  Handle->data = this;
}

Timer::~Timer() { closeHandle(Handle); }

static void callTimer(uv_timer_t *handle, std::function<void()> &fn) {
  if (!handle->data)
    return;
  // Calls a copy, because the function may replace itself or destroy the timer
  // while it runs.
  const auto copy = fn;
  copy();
}

void Timer::once(core::DurationMs after, std::function<void()> fn) {
  Fn = std::move(fn);
  const auto fire = [](uv_timer_t *h) {
    if (h->data)
      callTimer(h, static_cast<Timer *>(h->data)->Fn);
  };
  uv_update_time(Handle->loop);
  uv_timer_start(Handle, fire, after.Count > 0 ? after.Count : 0, 0);
}

void Timer::every(core::DurationMs period, std::function<void()> fn) {
  Fn = std::move(fn);
  const auto fire = [](uv_timer_t *h) {
    if (h->data)
      callTimer(h, static_cast<Timer *>(h->data)->Fn);
  };
  uv_timer_start(Handle, fire, period.Count, period.Count);
}

void Timer::stop() { uv_timer_stop(Handle); }

Wakeup::Wakeup(Loop &loop, std::function<void()> fn)
    : Handle(new uv_async_t), Fn(std::move(fn)) {
  const auto fire = [](uv_async_t *h) {
    if (h->data)
      static_cast<Wakeup *>(h->data)->Fn();
  };
  uv_async_init(loop.raw(), Handle, fire);
  Handle->data = this;
}

Wakeup::~Wakeup() { closeHandle(Handle); }

void Wakeup::request() { uv_async_send(Handle); }

SignalWatcher::SignalWatcher(Loop &loop, int signal, std::function<void()> fn)
    : Handle(new uv_signal_t), Fn(std::move(fn)) {
  uv_signal_init(loop.raw(), Handle);
  Handle->data = this;
  const auto fire = [](uv_signal_t *h, int) {
    if (h->data)
      static_cast<SignalWatcher *>(h->data)->Fn();
  };
  uv_signal_start(Handle, fire, signal);
}

SignalWatcher::~SignalWatcher() { closeHandle(Handle); }

Thread::Thread() : Owned(std::make_unique<Loop>()) {
  StopRequest = std::make_unique<Wakeup>(*Owned, [this] { Owned->stop(); });
}

Thread::~Thread() { stop(); }

void Thread::start() {
  Runner = std::thread([this] { Owned->run(); });
}

void Thread::stop() {
  if (!Runner.joinable())
    return;
  StopRequest->request();
  Runner.join();
}

} // namespace almondgate::task
