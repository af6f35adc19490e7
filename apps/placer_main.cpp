#include "almondgate/http/status_server.hpp"
#include "almondgate/placer/placer_task.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"

#include "memory_report.hpp"
#include "process_signals.hpp"
#include "program.hpp"

using namespace almondgate;

namespace {

constexpr core::DurationMs HandoverCheckInterval{10};
constexpr core::DurationMs MaxStopTime{8000};

int run(const config::PlacerSettings &settings) {
  task::Loop loop;
  const auto descriptors = task::DescriptorBudget::ofProcess(loop);
  placer::PlacerTask placer(loop, settings, descriptors);
  task::Timer stopping(loop);
  bool stopped = false;
  core::TimeMs began;
  const auto stop = [&] {
    if (stopped)
      return;
    stopped = true;
    began = core::monotonicNow();
    observe::logInfo("stop", "handing over its pools");
    placer.stop();
    stopping.every(HandoverCheckInterval, [&] {
      const auto waited = core::monotonicNow() - began;
      const bool late = waited > MaxStopTime;
      // Even after the handover, entries may not know the new owners yet, so
      // the process stays at least for the stop delay.
      if ((placer.isHandoverComplete() &&
           waited >= settings.Common.StopDelay) ||
          late)
        loop.stop();
    });
  };
  const apps::MemoryReport memory(loop, settings.Common.Memory.Limit,
                                  {[&] { return placer.budgets(); }});
  http::StatusServer status(
      loop,
      {[&] { return stopped ? std::string("stopping") : placer.notReady(); },
       [&] { return memory.metricsText() + descriptors->metricsText(); }});
  const apps::ProcessSignals signals(loop, stop);
  if (settings.Common.StatusAddress != core::Address{})
    if (auto done = status.listen(settings.Common.StatusAddress); !done)
      return apps::reportStartError(done.error());
  if (auto done = placer.start(); !done)
    return apps::reportStartError(done.error());
  observe::logInfo("start",
                   "placer at " + core::toString(settings.Common.Inner));
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return apps::programMain<config::PlacerSettings>(
      argc, argv, config::readPlacerSettings, run);
}
