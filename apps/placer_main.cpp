#include "almondgate/http/status_server.hpp"
#include "almondgate/placer/placer_task.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/signal_watcher.hpp"

#include "program.hpp"

using namespace almondgate;

namespace {

constexpr core::DurationMs HandoverCheck{10};
constexpr core::DurationMs LongestStop{8000};

int run(const config::PlacerSettings &settings) {
  task::Loop loop;
  placer::PlacerTask placer(loop, settings);
  task::Timer stopping(loop);
  bool stopped = false;
  core::TimeMs began;
  const auto stop = [&] {
    if (stopped)
      return;
    stopped = true;
    began = core::monotonicNow();
    observe::logInfo("stop", "hands its pools over");
    placer.stop();
    stopping.every(HandoverCheck, [&] {
      const auto waited = core::monotonicNow() - began;
      const bool late = waited > LongestStop;
      // Entries may still be on their way to the new owners.
      if ((placer.isHandoverComplete() &&
           waited >= settings.Common.StopDelay) ||
          late)
        loop.stop();
    });
  };
  http::StatusServer status(
      loop,
      {[&] { return stopped ? std::string("stopping") : placer.notReady(); },
       [] { return std::string(); }});
  const task::SignalWatcher term(loop, SIGTERM, stop);
  const task::SignalWatcher interrupt(loop, SIGINT, stop);
  if (auto done = status.listen(settings.Common.StatusAddress); !done)
    return apps::failStart(done.error());
  if (auto done = placer.start(); !done)
    return apps::failStart(done.error());
  observe::logInfo("start",
                   "placer serves " + core::toString(settings.Common.Inner));
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return apps::programMain<config::PlacerSettings>(
      argc, argv, config::readPlacerSettings, run);
}
