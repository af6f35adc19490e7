#ifndef ALMONDGATE_DISPATCH_NEAR_WAITS_HPP
#define ALMONDGATE_DISPATCH_NEAR_WAITS_HPP

#include "almondgate/dispatch/dispatch_policies.hpp"
#include "almondgate/dispatch/near_wait.hpp"
#include "almondgate/dispatch/rack_forecast.hpp"
#include "almondgate/observe/log.hpp"

#include <string>
#include <vector>

namespace almondgate::dispatch {

/// Decides which tasks wait for a nearby place, and reports the waits. Reserves
/// no capacity.
class NearWaits {
public:
  struct Hooks {
    core::Clock Now;
    RackForecast::ListRuns ListRuns;
    decltype(DispatchPolicies::NearWait) Decide;
    std::function<void(const char *name, const char *label, const char *value)>
        IncrementCounter;
    observe::LogLine Log;
  };

  /// Tasks of one step that find no nearby place now.
  struct Request {
    /// For the log, such as "job 0123456789abcdef step 0".
    std::string Name;
    /// What they wait for, such as "rack r1".
    std::string Place;
    /// One task, or the whole gang.
    RackForecast::Request Task;
    /// How many such tasks or gangs there are.
    int64_t Count = 0;
    /// The most of them that may run near at a time.
    int64_t MaxWaiting = INT64_MAX;
    /// Groups of endpoints; a task is near on any one group.
    std::vector<const std::vector<EndpointView *> *> Groups;
    /// As in NearWaitInput.
    int64_t SlackMs = 0;
    bool PoolIdle = false;
  };

  NearWaits(double remote_factor, Hooks hooks)
      : RemoteFactor(remote_factor), H(std::move(hooks)), Forecast(H.ListRuns) {
  }

  /// To be called at the begin of each placement pass; endpoints must not be
  /// removed until the end of the pass.
  void beginPass() { Forecast.beginPass(H.Now()); }

  /// Tasks of the step were placed near.
  void onPlacedNear(NearWait &wait, const std::string &name, int64_t count);

  /// Returns how many of the tasks go on waiting. The others may start
  /// anywhere.
  int64_t decide(NearWait &wait, const Request &request);

private:
  std::optional<RackForecast::Start> earliestStart(const Request &request);
  void count(const char *outcome, int64_t n) const;
  void endIfOver(NearWait &wait, const std::string &name, const char *why);

  const double RemoteFactor;
  const Hooks H;
  RackForecast Forecast;
};

} // namespace almondgate::dispatch

#endif
