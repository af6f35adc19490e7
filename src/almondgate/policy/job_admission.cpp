#include "almondgate/policy/job_admission.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

// Of a pool that works, so much can be used before a due time: tasks are not
// cut to size, and those that run end when they end. VMs that come are empty.
constexpr int64_t UsedPercent = 70;
constexpr int64_t ShortestRetryMs = 200;
constexpr int64_t LongestRetryMs = 3000;
// A job that can't be in time is let in where little waits.
constexpr int64_t LittleWaitMs = 200;
constexpr int64_t Hundred = 100;

int64_t workOf(const JobDemand &load) {
  return load.ReadyWork + load.LaterWork;
}

// Late work is served after all that can be in time.
bool counts(const JobDemand &load, int64_t due_ms) {
  return load.DueInMs > 0 && load.DueInMs <= due_ms;
}

/// Work that is more than the supply up to some time.
struct Excess {
  int64_t Work = 0;
  int64_t AtMs = 0;
};

// By when the first step has to end, behind what may start before it.
Excess excessAtStart(const JobAdmissionInput &input) {
  const int64_t until = input.SlackMs + input.FirstStepMs;
  int64_t ready = input.FirstStepWork;
  for (const auto &load : input.OpenJobs)
    if (counts(load, input.DueInMs))
      ready += load.ReadyWork;
  return {ready - supplyUntil(input, until), until};
}

// The worst of the job's own due time and those after it.
Excess excessWith(const JobAdmissionInput &input) {
  std::vector<JobDemand> loads = input.OpenJobs;
  loads.push_back({input.DueInMs, input.Work, 0});
  std::sort(loads.begin(), loads.end(),
            [](const auto &a, const auto &b) { return a.DueInMs < b.DueInMs; });
  Excess worst;
  int64_t demand = 0;
  for (const auto &load : loads) {
    demand += load.DueInMs > 0 ? workOf(load) : 0;
    if (load.DueInMs < input.DueInMs)
      continue;
    const int64_t supply = supplyUntil(input, load.DueInMs);
    if (demand - supply > worst.Work)
      worst = {demand - supply, load.DueInMs};
  }
  return worst;
}

// Beside all that is open, late or not.
bool littleWaits(const JobAdmissionInput &input) {
  int64_t ready = 0;
  for (const auto &load : input.OpenJobs)
    ready += load.ReadyWork;
  return ready <= supplyUntil(input, LittleWaitMs);
}

JobAdmissionDecision refuse(const JobAdmissionInput &input,
                            const Excess &excess, const char *why) {
  const int64_t rate =
      std::max<int64_t>(input.CapacityMilliCpus + input.IncomingMilliCpus, 1);
  const int64_t missing_ms = excess.Work / rate;
  return {
      false,
      std::clamp(missing_ms + ShortestRetryMs, ShortestRetryMs, LongestRetryMs),
      std::string(why) + ": " + std::to_string(missing_ms) +
          " ms of the pool are missing by " + std::to_string(excess.AtMs) +
          " ms, due in " + std::to_string(input.DueInMs) + " ms"};
}

} // namespace

int64_t supplyUntil(const JobAdmissionInput &input, int64_t ms) {
  return input.CapacityMilliCpus * UsedPercent / Hundred *
             std::max<int64_t>(ms, 0) +
         input.IncomingMilliCpus *
             std::max<int64_t>(ms - input.IncomingInMs, 0);
}

JobAdmissionDecision decideJobAdmission(const JobAdmissionInput &input) {
  if (input.LongRunning)
    return {true, 0, "long-running"};
  if (input.CapacityMilliCpus + input.IncomingMilliCpus <= 0)
    return {true, 0, "capacity is not known yet"};
  if (littleWaits(input))
    return {true, 0, "little waits"};
  if (input.SlackMs < 0)
    return refuse(input, {}, "it comes too late");
  if (const auto excess = excessAtStart(input); excess.Work > 0)
    return refuse(input, excess, "it could not start in time");
  if (const auto excess = excessWith(input); excess.Work > 0)
    return refuse(input, excess, "the pool is full");
  return {true, 0, "in time, due in " + std::to_string(input.DueInMs) + " ms"};
}

} // namespace almondgate::policy
