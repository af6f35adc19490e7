#include "almondgate/policy/job_admission.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

// Percentage of a pool's present capacity that can be used before a due time:
// tasks can't be split to fill gaps, and running tasks free their capacity only
// when they end. Arriving VMs are empty and count in full.
constexpr int64_t UsablePercent = 70;
constexpr int64_t MinRetryMs = 200;
constexpr int64_t MaxRetryMs = 3000;
// A backlog that the pool can do within this time is small: every job is
// accepted, even one that would miss its due time.
constexpr int64_t SmallBacklogMs = 200;
constexpr int64_t Hundred = 100;

int64_t totalWork(const JobDemand &job) {
  return job.ReadyWork + job.LaterWork;
}

// Whether an open job is served before a job with this due time. Overdue jobs
// are served after all jobs that can still meet their due time.
bool isServedBefore(const JobDemand &job, int64_t due_ms) {
  return job.DueInMs > 0 && job.DueInMs <= due_ms;
}

// Work that exceeds the supply up to some time.
struct Excess {
  int64_t Work = 0;
  int64_t AtMs = 0;
};

// Excess up to the latest end of the job's first steps, behind the ready work
// that is served before them.
Excess excessAtStart(const JobAdmissionInput &input) {
  const int64_t until = input.SlackMs + input.FirstStepMs;
  int64_t ready = input.FirstStepWork;
  for (const auto &job : input.OpenJobs)
    if (isServedBefore(job, input.DueInMs))
      ready += job.ReadyWork;
  return {ready - supplyUntil(input, until), until};
}

// Largest excess up to the job's own due time and all later ones.
Excess excessAtDueTimes(const JobAdmissionInput &input) {
  std::vector<JobDemand> by_due_time = input.OpenJobs;
  by_due_time.push_back({input.DueInMs, input.Work, 0});
  std::sort(by_due_time.begin(), by_due_time.end(),
            [](const auto &a, const auto &b) { return a.DueInMs < b.DueInMs; });
  Excess worst;
  int64_t demand = 0;
  for (const auto &job : by_due_time) {
    demand += job.DueInMs > 0 ? totalWork(job) : 0;
    if (job.DueInMs < input.DueInMs)
      continue;
    const int64_t supply = supplyUntil(input, job.DueInMs);
    if (demand - supply > worst.Work)
      worst = {demand - supply, job.DueInMs};
  }
  return worst;
}

// Counts all open jobs, overdue or not.
bool isBacklogSmall(const JobAdmissionInput &input) {
  int64_t ready = 0;
  for (const auto &job : input.OpenJobs)
    ready += job.ReadyWork;
  return ready <= supplyUntil(input, SmallBacklogMs);
}

JobAdmissionDecision refuse(const JobAdmissionInput &input,
                            const Excess &excess, const char *reason) {
  const int64_t rate =
      std::max<int64_t>(input.CapacityMilliCpus + input.IncomingMilliCpus, 1);
  const int64_t missing_ms = excess.Work / rate;
  return {false, std::clamp(missing_ms + MinRetryMs, MinRetryMs, MaxRetryMs),
          std::string(reason) + ": the pool would need " +
              std::to_string(missing_ms) +
              " ms more at full capacity for the work of the next " +
              std::to_string(excess.AtMs) + " ms; the job is due in " +
              std::to_string(input.DueInMs) + " ms"};
}

} // namespace

int64_t supplyUntil(const JobAdmissionInput &input, int64_t ms) {
  return input.CapacityMilliCpus * UsablePercent / Hundred *
             std::max<int64_t>(ms, 0) +
         input.IncomingMilliCpus *
             std::max<int64_t>(ms - input.IncomingInMs, 0);
}

JobAdmissionDecision decideJobAdmission(const JobAdmissionInput &input) {
  if (input.LongRunning)
    return {true, 0, "long-running"};
  if (input.CapacityMilliCpus + input.IncomingMilliCpus <= 0)
    return {true, 0, "the capacity of the pool is not known yet"};
  if (isBacklogSmall(input))
    return {true, 0, "the backlog is small"};
  if (input.SlackMs < 0)
    return refuse(input, {}, "the due time can't be met any more");
  if (const auto excess = excessAtStart(input); excess.Work > 0)
    return refuse(input, excess, "the first steps can't start in time");
  if (const auto excess = excessAtDueTimes(input); excess.Work > 0)
    return refuse(input, excess, "the pool is full");
  return {true, 0,
          "the due time can be met, due in " + std::to_string(input.DueInMs) +
              " ms"};
}

} // namespace almondgate::policy
