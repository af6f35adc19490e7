#include "almondgate/policy/cold_start.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

constexpr int64_t FullPercent = 100;
constexpr int64_t InitialPercent = 25;
// What a run on time adds to the progress from cold to warm: eight of them, two
// rounds of tasks of 2 cores on a quarter of a VM of 32 cores, show that it is
// warm.
constexpr int64_t PercentPerRun = 12;
// Learned run times are means; most runs end within this part of them.
constexpr int64_t OnTimePercent = 150;

} // namespace

ColdStartDecision decideColdStart(const ColdStartInput &input) {
  if (input.ReportedMs <= 0 || input.ElapsedMs >= input.ReportedMs)
    return {};
  const int64_t by_time =
      FullPercent * std::max<int64_t>(input.ElapsedMs, 0) / input.ReportedMs;
  const int64_t by_runs =
      PercentPerRun * std::max<int64_t>(input.OnTimeRuns - input.LateRuns, 0);
  const int64_t progress = std::min(by_time + by_runs, FullPercent);
  if (progress >= FullPercent)
    return {};
  return {true, InitialPercent +
                    (FullPercent - InitialPercent) * progress / FullPercent};
}

bool isOnTime(int64_t ran_ms, int64_t expected_ms) {
  return ran_ms * FullPercent <= expected_ms * OnTimePercent;
}

} // namespace almondgate::policy
