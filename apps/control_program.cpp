#include "control_program.hpp"

#include "almondgate/core/digest.hpp"
#include "almondgate/http/status_server.hpp"
#include "almondgate/task/loop.hpp"

#include "memory_report.hpp"
#include "process_signals.hpp"
#include "program.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace almondgate::apps {

namespace {

constexpr core::DurationMs LeaderCheckInterval{10};
constexpr core::DurationMs MaxStopTime{3000};
constexpr core::DurationMs FullDiskRetryInterval{250};
constexpr int JoinerIdBytes = 4;

int formatFirstMember(const config::ControlSettings &settings) {
  consensus::Membership first;
  for (const auto &[name, address] : settings.FirstMembers)
    first.Members.push_back({consensus::MemberId(name), address, true});
  const auto done = storage::Store::format(settings.DataFolder,
                                           consensus::MemberId(settings.InitAs),
                                           first, storage::systemFileOps());
  if (!done)
    return reportStartError(done.error());
  observe::logInfo("start", "formatted " + settings.DataFolder + " for " +
                                settings.InitAs);
  return 0;
}

consensus::MemberId firstIdAt(const core::Address &address) {
  return consensus::MemberId("first-" + core::toString(address));
}

// A member with an empty disk gets a new identity, which has no vote until it
// replaces another member. Only the founders of a new group vote at once.
core::Result<std::unique_ptr<storage::Store>>
openStore(const config::ControlSettings &settings) {
  const auto ops = storage::systemFileOps();
  auto store = storage::Store::open(settings.DataFolder, ops);
  if (store || store.error().Code != core::ErrorCode::NotFound)
    return store;
  const auto &first = settings.Common.Control;
  const bool is_founder = settings.BootstrapCluster &&
                          std::find(first.begin(), first.end(),
                                    settings.Common.Inner) != first.end();
  const consensus::MemberId id =
      is_founder
          ? firstIdAt(settings.Common.Inner)
          : consensus::MemberId("joiner-" + core::randomHex(JoinerIdBytes));
  consensus::Membership members;
  if (is_founder)
    for (const auto &address : first)
      members.Members.push_back({firstIdAt(address), address, true});
  const auto done =
      storage::Store::format(settings.DataFolder, id, members, ops);
  if (!done)
    return done.error();
  observe::logWarn("start", "data folder " + settings.DataFolder +
                                " is empty: this member " +
                                (is_founder ? "founds" : "joins") +
                                " the group as " + id.str());
  return storage::Store::open(settings.DataFolder, ops);
}

// Opening the store needs a little free disk space. The process does not serve
// yet, so waiting here blocks no request.
core::Result<std::unique_ptr<storage::Store>>
openStoreOnceDiskHasSpace(const config::ControlSettings &settings) {
  auto store = openStore(settings);
  for (bool logged = false;
       !store && store.error().Code == core::ErrorCode::NoSpace &&
       !isStopPending();
       logged = true) {
    if (!logged)
      observe::logError("storage",
                        store.error().Text + "; waiting for free disk space");
    std::this_thread::sleep_for(
        std::chrono::milliseconds(FullDiskRetryInterval.Count));
    store = openStore(settings);
  }
  return store;
}

int run(const config::ControlSettings &settings,
        const MakeControlAdapter &make_adapter) {
  auto store = openStoreOnceDiskHasSpace(settings);
  if (!store) {
    const int error = reportStartError(store.error());
    return isStopPending() ? 0 : error;
  }
  task::Loop loop;
  int code = 0;
  const ControlAdapter adapter = make_adapter(loop, settings);
  control::ControlTask control(
      loop, settings, std::move(store.value()),
      [&](const core::Error &error) {
        observe::logError("storage",
                          error.Text +
                              "; stopping, no further change is acknowledged");
        code = 1;
        loop.stop();
      },
      adapter.Gateway);
  task::Timer stopping(loop);
  bool stopped = false;
  core::TimeMs began;
  const auto stop = [&] {
    if (stopped)
      return;
    stopped = true;
    began = core::monotonicNow();
    observe::logInfo("stop", "handing over leadership");
    control.stepDown();
    if (adapter.Stop)
      adapter.Stop();
    stopping.every(LeaderCheckInterval, [&] {
      const bool late = core::monotonicNow() - began > MaxStopTime;
      if (!control.isLeader() || late)
        loop.stop();
    });
  };
  const MemoryReport memory(loop, settings.Common.Memory.Limit, [&] {
    auto out = control.budgets();
    if (adapter.Budgets)
      for (auto &reading : adapter.Budgets())
        out.push_back(std::move(reading));
    return out;
  });
  http::StatusServer status(
      loop,
      {[&] { return stopped ? std::string("stopping") : control.notReady(); },
       [&] { return control.metricsText() + memory.metricsText(); }});
  const ProcessSignals signals(loop, stop);
  if (settings.Common.StatusAddress != core::Address{})
    if (auto done = status.listen(settings.Common.StatusAddress); !done)
      return reportStartError(done.error());
  if (auto done = control.start(); !done)
    return reportStartError(done.error());
  if (adapter.Start)
    if (auto done = adapter.Start(control); !done)
      return reportStartError(done.error());
  observe::logInfo("start", "control member at " +
                                core::toString(settings.Common.Inner));
  loop.run();
  return code;
}

} // namespace

int controlMain(int argc, char **argv, const MakeControlAdapter &make_adapter) {
  return programMain<config::ControlSettings>(
      argc, argv, config::readControlSettings,
      [&](const config::ControlSettings &settings) {
        return settings.InitAs.empty() ? run(settings, make_adapter)
                                       : formatFirstMember(settings);
      });
}

} // namespace almondgate::apps
