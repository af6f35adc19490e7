#include "almondgate/control/control_task.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/http/status_server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/signal_watcher.hpp"

#include "program.hpp"

#include <csignal>

using namespace almondgate;

namespace {

constexpr core::DurationMs LeaderCheck{10};
constexpr core::DurationMs LongestStop{3000};
constexpr int IncarnationBytes = 4;

int formatFirst(const config::ControlSettings &settings) {
  consensus::Membership first;
  for (const auto &[name, address] : settings.FirstMembers)
    first.Members.push_back({consensus::MemberId(name), address, true});
  const auto done = storage::Store::format(settings.DataFolder,
                                           consensus::MemberId(settings.InitAs),
                                           first, storage::systemFileOps());
  if (!done)
    return apps::failStart(done.error());
  observe::logInfo("start", "formatted " + settings.DataFolder + " for " +
                                settings.InitAs);
  return 0;
}

// An empty disk gets a new identity, which has no vote until an operator puts
// it in the place of another.
core::Result<std::unique_ptr<storage::Store>>
openStore(const config::ControlSettings &settings) {
  const auto ops = storage::systemFileOps();
  auto store = storage::Store::open(settings.DataFolder, ops);
  if (store || store.error().Code != core::ErrorCode::NotFound)
    return store;
  const consensus::MemberId fresh("joiner-" +
                                  core::randomHex(IncarnationBytes));
  const auto done = storage::Store::format(settings.DataFolder, fresh, {}, ops);
  if (!done)
    return done.error();
  observe::logWarn("start", "empty data folder: joins as " + fresh.str());
  return storage::Store::open(settings.DataFolder, ops);
}

int run(const config::ControlSettings &settings) {
  auto store = openStore(settings);
  if (!store)
    return apps::failStart(store.error());
  task::Loop loop;
  int code = 0;
  control::ControlTask control(
      loop, settings, std::move(store.value()), [&](const core::Error &error) {
        observe::logError("storage",
                          error.Text + "; nothing more is acknowledged");
        code = 1;
        loop.stop();
      });
  task::Timer stopping(loop);
  bool stopped = false;
  core::TimeMs began;
  const auto stop = [&] {
    if (stopped)
      return;
    stopped = true;
    began = core::monotonicNow();
    observe::logInfo("stop", "hands leadership over");
    control.stepDown();
    stopping.every(LeaderCheck, [&] {
      const bool late = core::monotonicNow() - began > LongestStop;
      if (!control.leads() || late)
        loop.stop();
    });
  };
  http::StatusServer status(
      loop,
      {[&] { return stopped ? std::string("stopping") : control.notReady(); },
       [&] { return control.metricsText(); }});
  const task::SignalWatcher term(loop, SIGTERM, stop);
  const task::SignalWatcher interrupt(loop, SIGINT, stop);
  if (auto done = status.listen(settings.Common.StatusAddress); !done)
    return apps::failStart(done.error());
  if (auto done = control.start(); !done)
    return apps::failStart(done.error());
  observe::logInfo("start", "control member serves " +
                                core::toString(settings.Common.Inner));
  loop.run();
  return code;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int code = 0;
  const auto settings = apps::readOrExit<config::ControlSettings>(
      argc, argv, config::readControlSettings, code);
  if (!settings)
    return code;
  return settings->InitAs.empty() ? run(*settings) : formatFirst(*settings);
}
