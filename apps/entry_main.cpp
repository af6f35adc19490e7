#include "almondgate/entry/front_task.hpp"
#include "almondgate/entry/route_task.hpp"
#include "almondgate/http/server_budget.hpp"
#include "almondgate/http/status_server.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"

#include "memory_report.hpp"
#include "process_signals.hpp"
#include "program.hpp"

#include <memory>

using namespace almondgate;

namespace {

constexpr core::DurationMs IdleCheckInterval{20};
// Longer than any request may take.
constexpr core::DurationMs MaxStopTime{120000};

/// Stops an entry without aborting open requests.
class GracefulShutdown {
public:
  GracefulShutdown(task::Loop &loop, entry::FrontTask &front,
                   entry::RouteTask &route, core::DurationMs delay)
      : Loop(loop), Front(front), Route(route), Delay(delay), Timer(loop) {}

  bool stopping() const { return Stopping; }

  void begin() {
    if (Stopping)
      return;
    Stopping = true;
    observe::logInfo("stop", "no longer ready; finishing open requests");
    Front.drain();
    Began = core::monotonicNow();
    Timer.once(Delay, [this] {
      Front.stopAccepting();
      Timer.every(IdleCheckInterval, [this] { stopWhenIdle(); });
    });
  }

private:
  void stopWhenIdle() {
    const bool late = core::monotonicNow() - Began > MaxStopTime;
    const bool idle = Front.isIdle() && Route.isIdle();
    if (!idle && !late)
      return;
    observe::logInfo("stop", late ? "timed out with " +
                                        std::to_string(Front.openRequests()) +
                                        " open requests"
                                  : "all requests are answered");
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
  const auto descriptors = task::DescriptorBudget::ofProcess(loop);
  entry::RouteTask route(
      loop, settings,
      [&](entry::ResponseReady answer) {
        return front->mailbox().post(std::move(answer));
      },
      descriptors);
  const auto budget = std::make_shared<http::ServerBudget>(
      http::ServerBudget::ofPlan(settings.Common.Memory, descriptors));
  front = std::make_unique<entry::FrontTask>(
      loop, budget, [&](entry::FrontEvent event) {
        return route.mailbox().post(std::move(event));
      });
  GracefulShutdown shutdown(loop, *front, route, settings.Common.StopDelay);
  const apps::MemoryReport memory(
      loop, settings.Common.Memory.Limit,
      {[&] { return route.budgets(); }, [&] { return budget->read(); }});
  const auto not_ready = [&] {
    if (shutdown.stopping())
      return std::string("stopping");
    const std::string why = route.notReady();
    return why.empty() && !front->isListening()
               ? apps::notListening(settings.Public)
               : why;
  };
  http::StatusServer status(loop, {not_ready, [&] {
                                     return route.metricsText() +
                                            memory.metricsText() +
                                            descriptors->metricsText();
                                   }});
  const apps::ProcessSignals signals(loop, [&] { shutdown.begin(); });
  if (settings.Common.StatusAddress != core::Address{})
    if (auto done = status.listen(settings.Common.StatusAddress); !done)
      return apps::reportStartError(done.error());
  int code = 0;
  // Called once the entry has a view. Without one it would refuse every
  // request, so callers are better served by other entries.
  const auto serve = [&] {
    if (auto done = front->listen(settings.Public); !done) {
      code = apps::reportStartError(done.error());
      loop.stop();
      return;
    }
    observe::logInfo("start", "entry of " + core::toString(settings.Public));
  };
  if (auto done = route.start(serve); !done)
    return apps::reportStartError(done.error());
  loop.run();
  return code;
}

} // namespace

int main(int argc, char **argv) {
  return apps::programMain<config::EntrySettings>(
      argc, argv, config::readEntrySettings, run);
}
