#include "almondgate/policy/job_door.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

// Estimates are rough: a job is let in a little beyond the computed bound.
constexpr int64_t PatiencePercent = 110;
constexpr int64_t ShortestRetryMs = 200;
constexpr int64_t LongestRetryMs = 3000;
constexpr int64_t Hundred = 100;

} // namespace

int64_t expectedWaitMs(const DoorInput &input) {
  const int64_t until_then = input.CapacityMilliCpus * input.IncomingInMs;
  if (input.IncomingMilliCpus == 0 || input.Backlog <= until_then)
    return input.Backlog / std::max<int64_t>(input.CapacityMilliCpus, 1);
  const int64_t together = input.CapacityMilliCpus + input.IncomingMilliCpus;
  return input.IncomingInMs + (input.Backlog - until_then) / together;
}

DoorVerdict judgeAtDoor(const DoorInput &input) {
  if (input.LongRunning)
    return {true, 0, "long-running"};
  if (input.CapacityMilliCpus + input.IncomingMilliCpus <= 0)
    return {true, 0, "capacity is not known yet"};
  const int64_t wait_ms = expectedWaitMs(input);
  const int64_t patience_ms = input.SlackMs * PatiencePercent / Hundred;
  const std::string figures = "wait " + std::to_string(wait_ms) + " of " +
                              std::to_string(patience_ms) + " ms";
  if (wait_ms <= patience_ms)
    return {true, 0, figures};
  const int64_t retry_ms = std::clamp(wait_ms - patience_ms + ShortestRetryMs,
                                      ShortestRetryMs, LongestRetryMs);
  return {false, retry_ms, "the pool is full: " + figures};
}

} // namespace almondgate::policy
