#ifndef ALMONDGATE_DISPATCH_RACK_FORECAST_HPP
#define ALMONDGATE_DISPATCH_RACK_FORECAST_HPP

#include "almondgate/dispatch/endpoint_schedule.hpp"
#include "almondgate/dispatch/endpoint_view.hpp"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondgate::dispatch {

/// Predicts, within one placement pass, when endpoints have capacity for the
/// tasks that wait for them. Nothing is gathered until it is asked for, and
/// each endpoint once a pass.
class RackForecast {
public:
  /// Lists the runs of an endpoint that are expected to end.
  using ListRuns =
      std::function<std::vector<ExpectedRun>(const EndpointView &)>;

  /// Tasks of equal size that are to start on a group of endpoints.
  struct Request {
    core::Size Need;
    /// Number of tasks that start together.
    int64_t Count = 1;
    /// The most of them on one endpoint; 0 for no limit.
    int64_t MaxPerEndpoint = 0;
    /// Expected run time in milliseconds.
    int64_t RunMs = 0;

    bool operator==(const Request &) const = default;
  };

  /// The earliest start of a request.
  struct Start {
    /// Time until the start in milliseconds.
    int64_t WaitMs = 0;
    /// Endpoint of each task; one may be named several times.
    std::vector<EndpointView *> At;
  };

  explicit RackForecast(ListRuns list_runs) : List(std::move(list_runs)) {}

  /// Discards what was gathered and enqueued in the last pass.
  void beginPass(core::TimeMs now);

  /// The earliest start of the request on the endpoints, behind all that was
  /// enqueued in this pass; empty if they can't free the capacity.
  std::optional<Start> earliestStart(const std::vector<EndpointView *> &group,
                                     const Request &request);

  /// Takes the capacity for a request that waits.
  void enqueue(const Start &start, const Request &request);

private:
  EndpointSchedule &scheduleOf(EndpointView &endpoint);

  ListRuns List;
  core::TimeMs Now;
  std::unordered_map<const EndpointView *, EndpointSchedule> Schedules;
};

} // namespace almondgate::dispatch

#endif
