#include "control_program.hpp"

#include "almondgate/core/digest.hpp"
#include "almondgate/http/status_server.hpp"
#include "almondgate/storage/data_folder.hpp"
#include "almondgate/task/loop.hpp"

#include "memory_report.hpp"
#include "process_signals.hpp"
#include "program.hpp"

#include <algorithm>
#include <utility>

namespace almondgate::apps {

namespace {

constexpr core::DurationMs LeaderCheckInterval{10};
constexpr core::DurationMs MaxStopTime{3000};
constexpr core::DurationMs StoreRetryInterval{250};
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
// replaces another member. Only the founders of a new group vote at once, and
// none that lost its state. A founder that was killed while it formatted its
// disk stays one, whatever the settings of its next start say.
storage::FirstState firstState(const config::ControlSettings &settings,
                               const storage::FolderHistory &history) {
  const auto self = firstIdAt(settings.Common.Inner);
  if (consensus::isVoter(history.Interrupted, self))
    return {self, history.Interrupted};
  const auto &first = settings.Common.Control;
  const bool is_founder = settings.BootstrapCluster && !history.HadState &&
                          std::find(first.begin(), first.end(),
                                    settings.Common.Inner) != first.end();
  if (!is_founder)
    return {consensus::MemberId("joiner-" + core::randomHex(JoinerIdBytes)),
            {}};
  consensus::Membership members;
  for (const auto &address : first)
    members.Members.push_back({firstIdAt(address), address, true});
  return {self, members};
}

// Opens the data folder. While it can't be read or written, waits and tries
// again: the process does not serve yet, so this blocks no request. Returns
// null if the process is asked to stop first.
std::unique_ptr<storage::Store>
waitForStore(const config::ControlSettings &settings) {
  const storage::DataFolderHooks hooks{
      [&](const storage::FolderHistory &history) {
        return firstState(settings, history);
      },
      [](const std::string &line) { observe::logWarn("storage", line); }};
  task::Loop loop;
  bool stopped = false;
  const ProcessSignals signals(loop, [&] {
    stopped = true;
    loop.stop();
  });
  task::Timer retry(loop);
  std::unique_ptr<storage::Store> store;
  core::Error last;
  const auto open = [&] {
    auto opened = storage::openDataFolder(settings.DataFolder,
                                          storage::systemFileOps(), hooks);
    if (opened) {
      store = std::move(opened.value());
      loop.stop();
      return;
    }
    if (opened.error() != std::exchange(last, opened.error()))
      observe::logError("storage",
                        last.Text +
                            "; waiting for the data folder, trying "
                            "again every " +
                            std::to_string(StoreRetryInterval.Count) + " ms");
  };
  retry.every(StoreRetryInterval, open);
  loop.defer(open);
  loop.run();
  if (stopped)
    return nullptr;
  return store;
}

int run(const config::ControlSettings &settings,
        const MakeControlAdapter &make_adapter) {
  auto store = waitForStore(settings);
  if (!store)
    return 0;
  task::Loop loop;
  int code = 0;
  const auto descriptors = task::DescriptorBudget::ofProcess(loop);
  const ControlAdapter adapter = make_adapter(loop, settings, descriptors);
  control::ControlTask control(
      loop, settings, std::move(store),
      [&](const core::Error &error) {
        observe::logError("storage",
                          error.Text +
                              "; stopping, no further change is acknowledged");
        code = 1;
        loop.stop();
      },
      adapter.Gateway, descriptors);
  task::Timer stopping(loop);
  bool stopped = false;
  bool handed_over = false;
  core::TimeMs began;
  const auto stop = [&] {
    if (stopped)
      return;
    stopped = true;
    began = core::monotonicNow();
    observe::logInfo("stop", "handing over leadership");
    control.stepDown();
    if (adapter.Drain)
      adapter.Drain();
    stopping.every(LeaderCheckInterval, [&] {
      const bool late = core::monotonicNow() - began > MaxStopTime;
      if (control.isLeader() && !late)
        return;
      if (!std::exchange(handed_over, true) && adapter.StopAccepting)
        adapter.StopAccepting();
      // Requests that were passed on to the leader are still to be answered.
      const bool idle = !adapter.IsIdle || adapter.IsIdle();
      if (!idle && !late)
        return;
      if (!idle)
        observe::logWarn("stop", "ending with open requests");
      loop.stop();
    });
  };
  const MemoryReport memory(
      loop, settings.Common.Memory.Limit,
      {[&] { return control.budgets(); }, adapter.Budgets});
  http::StatusServer status(
      loop,
      {[&] { return stopped ? std::string("stopping") : control.notReady(); },
       [&] {
         return control.metricsText() + memory.metricsText() +
                descriptors->metricsText();
       }});
  const ProcessSignals signals(loop, stop);
  if (settings.Common.StatusAddress != core::Address{})
    if (auto done = status.listen(settings.Common.StatusAddress); !done)
      return reportStartError(done.error());
  if (auto done = control.start(); !done)
    return reportStartError(done.error());
  if (adapter.Start)
    if (auto done = adapter.Start(control); !done)
      return reportStartError(done.error());
  observe::logInfo(
      "start", "control member at " + core::toString(settings.Common.Inner) +
                   ", longest lease " +
                   std::to_string(settings.LongestLease.Count) + " ms");
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
