#include "almondgate/entry/front_task.hpp"
#include "almondgate/entry/route_task.hpp"
#include "almondgate/http/status_server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/signal_watcher.hpp"

#include "program.hpp"

#include <memory>

using namespace almondgate;

namespace {

constexpr core::DurationMs IdleCheck{20};
// Longer than any request may take.
constexpr core::DurationMs LongestStop{120000};

/// Takes an entry out of service without cutting a request.
class Stopper {
public:
  Stopper(task::Loop &loop, entry::FrontTask &front, entry::RouteTask &route,
          core::DurationMs delay)
      : Loop(loop), Front(front), Route(route), Delay(delay), Timer(loop) {}

  bool stopping() const { return Stopping; }

  void begin() {
    if (Stopping)
      return;
    Stopping = true;
    observe::logInfo("stop", "no longer ready; finishing what is open");
    Front.drain();
    Began = core::monotonicNow();
    Timer.once(Delay, [this] {
      Front.stopAccepting();
      Timer.every(IdleCheck, [this] { endWhenIdle(); });
    });
  }

private:
  void endWhenIdle() {
    const bool late = core::monotonicNow() - Began > LongestStop;
    const bool idle = Front.openRequests() == 0 && Route.isIdle();
    if (!idle && !late)
      return;
    observe::logInfo("stop", late ? "gave up waiting" : "all is answered");
    Loop.stop();
  }

  task::Loop &Loop;
  entry::FrontTask &Front;
  entry::RouteTask &Route;
  const core::DurationMs Delay;
  task::Timer Timer;
  core::TimeMs Began;
  bool Stopping = false;
};

int run(const config::EntrySettings &settings) {
  task::Loop loop;
  std::unique_ptr<entry::FrontTask> front;
  entry::RouteTask route(loop, settings, [&](entry::ResponseReady answer) {
    return front->mailbox().post(std::move(answer));
  });
  front =
      std::make_unique<entry::FrontTask>(loop, [&](entry::FrontEvent event) {
        return route.mailbox().post(std::move(event));
      });
  Stopper stopper(loop, *front, route, settings.Common.StopDelay);
  http::StatusServer status(loop, {[&] {
                                     return stopper.stopping()
                                                ? std::string("stopping")
                                                : route.notReady();
                                   },
                                   [&] { return route.metricsText(); }});
  const task::SignalWatcher term(loop, SIGTERM, [&] { stopper.begin(); });
  const task::SignalWatcher interrupt(loop, SIGINT, [&] { stopper.begin(); });
  if (auto done = status.listen(settings.Common.StatusAddress); !done)
    return apps::failStart(done.error());
  int code = 0;
  // Without a view every answer would be a refusal: callers go elsewhere.
  const auto serve = [&] {
    if (auto done = front->listen(settings.Public); !done) {
      code = apps::failStart(done.error());
      loop.stop();
      return;
    }
    observe::logInfo("start",
                     "entry serves " + core::toString(settings.Public));
  };
  if (auto done = route.start(serve); !done)
    return apps::failStart(done.error());
  loop.run();
  return code;
}

} // namespace

int main(int argc, char **argv) {
  return apps::programMain<config::EntrySettings>(
      argc, argv, config::readEntrySettings, run);
}
