#include "control_program.hpp"

#include "almondgate/core/digest.hpp"
#include "almondgate/http/status_server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/signal_watcher.hpp"

#include "program.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace almondgate::apps {

namespace {

constexpr core::DurationMs LeaderCheck{10};
constexpr core::DurationMs LongestStop{3000};
constexpr core::DurationMs FullDiskWait{250};
constexpr int IncarnationBytes = 4;

int formatFirst(const config::ControlSettings &settings) {
  consensus::Membership first;
  for (const auto &[name, address] : settings.FirstMembers)
    first.Members.push_back({consensus::MemberId(name), address, true});
  const auto done = storage::Store::format(settings.DataFolder,
                                           consensus::MemberId(settings.InitAs),
                                           first, storage::systemFileOps());
  if (!done)
    return failStart(done.error());
  observe::logInfo("start", "formatted " + settings.DataFolder + " for " +
                                settings.InitAs);
  return 0;
}

consensus::MemberId firstIdAt(const core::Address &address) {
  return consensus::MemberId("first-" + core::toString(address));
}

// An empty disk gets a new identity, which has no vote until it is put in the
// place of another; only the founders of a new group vote at once.
core::Result<std::unique_ptr<storage::Store>>
openStore(const config::ControlSettings &settings) {
  const auto ops = storage::systemFileOps();
  auto store = storage::Store::open(settings.DataFolder, ops);
  if (store || store.error().Code != core::ErrorCode::NotFound)
    return store;
  const auto &first = settings.Common.Control;
  const bool founds =
      settings.Found && std::find(first.begin(), first.end(),
                                  settings.Common.Inner) != first.end();
  const consensus::MemberId id =
      founds
          ? firstIdAt(settings.Common.Inner)
          : consensus::MemberId("joiner-" + core::randomHex(IncarnationBytes));
  consensus::Membership members;
  if (founds)
    for (const auto &address : first)
      members.Members.push_back({firstIdAt(address), address, true});
  const auto done =
      storage::Store::format(settings.DataFolder, id, members, ops);
  if (!done)
    return done.error();
  observe::logWarn("start", "empty data folder: " +
                                std::string(founds ? "founds" : "joins") +
                                " as " + id.str());
  return storage::Store::open(settings.DataFolder, ops);
}

// Opening needs little room, but some. Nothing is served yet, so waiting here
// holds nobody up.
core::Result<std::unique_ptr<storage::Store>>
openStoreOnceThereIsRoom(const config::ControlSettings &settings) {
  auto store = openStore(settings);
  for (bool told = false;
       !store && store.error().Code == core::ErrorCode::NoSpace; told = true) {
    if (!told)
      observe::logError("storage", store.error().Text + "; waits for room");
    std::this_thread::sleep_for(std::chrono::milliseconds(FullDiskWait.Count));
    store = openStore(settings);
  }
  return store;
}

int run(const config::ControlSettings &settings,
        const MakeControlSide &make_side) {
  auto store = openStoreOnceThereIsRoom(settings);
  if (!store)
    return failStart(store.error());
  task::Loop loop;
  int code = 0;
  const ControlSide side = make_side(loop, settings);
  control::ControlTask control(
      loop, settings, std::move(store.value()),
      [&](const core::Error &error) {
        observe::logError("storage",
                          error.Text + "; nothing more is acknowledged");
        code = 1;
        loop.stop();
      },
      side.Gateway);
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
    if (side.Stop)
      side.Stop();
    stopping.every(LeaderCheck, [&] {
      const bool late = core::monotonicNow() - began > LongestStop;
      if (!control.isLeader() || late)
        loop.stop();
    });
  };
  http::StatusServer status(
      loop,
      {[&] { return stopped ? std::string("stopping") : control.notReady(); },
       [&] { return control.metricsText(); }});
  const task::SignalWatcher term(loop, SIGTERM, stop);
  const task::SignalWatcher interrupt(loop, SIGINT, stop);
  const task::SignalWatcher reload(loop, SIGHUP, [] {
    observe::logInfo("reload", "settings are read at the next start");
  });
  if (auto done = status.listen(settings.Common.StatusAddress); !done)
    return failStart(done.error());
  if (auto done = control.start(); !done)
    return failStart(done.error());
  if (side.Start)
    if (auto done = side.Start(control); !done)
      return failStart(done.error());
  observe::logInfo("start", "control member serves " +
                                core::toString(settings.Common.Inner));
  loop.run();
  return code;
}

} // namespace

int controlMain(int argc, char **argv, const MakeControlSide &make_side) {
  return programMain<config::ControlSettings>(
      argc, argv, config::readControlSettings,
      [&](const config::ControlSettings &settings) {
        return settings.InitAs.empty() ? run(settings, make_side)
                                       : formatFirst(settings);
      });
}

} // namespace almondgate::apps
