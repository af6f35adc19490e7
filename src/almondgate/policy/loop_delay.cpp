#include "almondgate/policy/loop_delay.hpp"

#include <algorithm>

namespace almondgate::policy {

using core::DurationMs;
using core::TimeMs;

namespace {

// A quarter of the leader's own lease (400 ms), which a loop that is further
// behind may fail to renew in time.
constexpr DurationMs MaxDelay{100};
constexpr int64_t MinRetryMs = 500;
constexpr int64_t MaxRetryMs = 3000;
// A caller returns after this many times the delay, when the loop can have
// caught up.
constexpr int64_t RetryFactor = 4;

} // namespace

void LoopDelay::record(TimeMs due, TimeMs now) {
  Since = std::min(Since, now);
  Records.emplace_back(now, std::max(now - due, DurationMs{0}));
  while (Records.size() > MinRecords && Records.front().first < now - Interval)
    Records.pop_front();
}

DurationMs LoopDelay::standing(TimeMs now) const {
  if (Records.size() < MinRecords || Since > now - Interval)
    return {};
  return std::min_element(
             Records.begin(), Records.end(),
             [](const auto &a, const auto &b) { return a.second < b.second; })
      ->second;
}

void LoopDelay::clear() {
  Since = TimeMs{INT64_MAX};
  Records.clear();
}

JobAdmissionDecision decideOverload(DurationMs standing_delay) {
  if (standing_delay <= MaxDelay)
    return {true, 0, "the leader is not behind"};
  return {
      false,
      std::clamp(standing_delay.Count * RetryFactor, MinRetryMs, MaxRetryMs),
      "the leader is " + std::to_string(standing_delay.Count) +
          " ms behind with its work"};
}

} // namespace almondgate::policy
