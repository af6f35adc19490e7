#include "almondgate/dispatch/cold_endpoints.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

// No VM is believed to remain slow for longer, whatever it reports.
constexpr int64_t MaxColdMs = 600000;
// Heartbeats of invented ids can't take up more memory than this.
constexpr size_t MaxReports = 20000;

} // namespace

bool ColdEndpoints::report(const jobs::EndpointFacts &facts,
                           int64_t remaining_ms, core::TimeMs now) {
  remaining_ms = std::clamp<int64_t>(remaining_ms, 0, MaxColdMs);
  const auto known = Reports.find(facts.Id);
  const bool same =
      known != Reports.end() && known->second.BornMs == facts.BornMs;
  if (same) {
    auto &input = known->second.Input;
    const int64_t elapsed = (now - known->second.At).Count;
    input.ReportedMs = std::min(input.ReportedMs, elapsed + remaining_ms);
    return false;
  }
  const bool older =
      known != Reports.end() && facts.BornMs < known->second.BornMs;
  if (remaining_ms == 0 || older ||
      (known == Reports.end() && Reports.size() >= MaxReports))
    return false;
  Reports[facts.Id] = {facts.BornMs, now, {.ReportedMs = remaining_ms}};
  return true;
}

void ColdEndpoints::onRunDone(const EndpointView &endpoint,
                              core::TimeMs started, int64_t ran_ms,
                              int64_t expected_ms) {
  const auto it = Reports.find(endpoint.Facts.Id);
  if (it == Reports.end() || it->second.BornMs != endpoint.Facts.BornMs ||
      started < it->second.At)
    return;
  auto &input = it->second.Input;
  ++(policy::isOnTime(ran_ms, expected_ms) ? input.OnTimeRuns : input.LateRuns);
}

void ColdEndpoints::update(EndpointMap &endpoints, core::TimeMs now) {
  for (auto it = Reports.begin(); it != Reports.end();) {
    Report &report = it->second;
    report.Input.ElapsedMs = (now - report.At).Count;
    if (!report.Over) {
      const auto decision = DecideColdStart(report.Input);
      const auto at = endpoints.find(it->first);
      if (at != endpoints.end() && at->second.Facts.BornMs == report.BornMs) {
        at->second.Cold = decision.Cold;
        at->second.CapacityPercent = decision.CapacityPercent;
      }
      report.Over = !decision.Cold;
    }
    // A report outlives its cold time, so that a late heartbeat of the same
    // incarnation can't begin it anew.
    const bool over = report.Input.ElapsedMs >= MaxColdMs;
    it = over ? Reports.erase(it) : std::next(it);
  }
}

} // namespace almondgate::dispatch
