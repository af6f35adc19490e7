#include "almondgate/dispatch/rack_forecast.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

void RackForecast::beginPass(core::TimeMs now) {
  Now = now;
  Schedules.clear();
}

EndpointSchedule &RackForecast::scheduleOf(EndpointView &endpoint) {
  const auto known = Schedules.find(&endpoint);
  if (known != Schedules.end())
    return known->second;
  if (!endpoint.ExpectedRuns)
    endpoint.ExpectedRuns = List(endpoint);
  std::vector<std::pair<int64_t, core::Size>> ends;
  ends.reserve(endpoint.ExpectedRuns->size());
  for (const auto &run : *endpoint.ExpectedRuns)
    ends.emplace_back(run.remainingMs(Now), run.Need);
  return Schedules
      .emplace(&endpoint,
               EndpointSchedule(freeCapacity(endpoint), std::move(ends)))
      .first->second;
}

std::optional<RackForecast::Start>
RackForecast::earliestStart(const std::vector<EndpointView *> &group,
                            const Request &request) {
  Start out;
  if (request.Count == 1) {
    for (auto *endpoint : group) {
      const auto wait_ms = scheduleOf(*endpoint).waitFor(request.Need);
      if (wait_ms && (out.At.empty() || *wait_ms < out.WaitMs)) {
        out.WaitMs = *wait_ms;
        out.At = {endpoint};
      }
    }
    return out.At.empty() ? std::nullopt : std::optional(out);
  }
  const int64_t limit =
      request.MaxPerEndpoint > 0 ? request.MaxPerEndpoint : request.Count;
  const auto place_at = [&](int64_t at_ms) {
    out.WaitMs = at_ms;
    out.At.clear();
    for (auto *endpoint : group) {
      const int64_t room = request.Count - int64_t(out.At.size());
      out.At.insert(out.At.end(),
                    size_t(scheduleOf(*endpoint).countAt(
                        at_ms, request.Need, std::min(limit, room))),
                    endpoint);
    }
    return int64_t(out.At.size()) == request.Count;
  };
  std::vector<int64_t> times;
  for (auto *endpoint : group) {
    const auto &schedule = scheduleOf(*endpoint);
    times.push_back(schedule.fromMs());
    for (const auto &end : schedule.ends())
      times.push_back(end.first);
  }
  std::sort(times.begin(), times.end());
  // Capacity only comes free with time, so the first time at which all fit is
  // found by bisection.
  const auto first =
      std::partition_point(times.begin(), times.end(),
                           [&](int64_t at_ms) { return !place_at(at_ms); });
  if (first == times.end() || !place_at(*first))
    return std::nullopt;
  return out;
}

void RackForecast::enqueue(const Start &start, const Request &request) {
  for (auto *endpoint : start.At)
    scheduleOf(*endpoint).take(start.WaitMs, request.Need, request.RunMs);
}

} // namespace almondgate::dispatch
