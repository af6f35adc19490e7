#include "almondgate/policy/job_room.hpp"

#include "almondgate/jobs/job_record.hpp"

namespace almondgate::policy {

namespace {

// A job's record, its ids and the nodes of the maps that hold it.
constexpr size_t BytesPerJob = 1000;
// The leader's TaskState and the ledger's TaskProgress.
constexpr size_t BytesPerTask = 160;
// Room comes free when jobs end, or when ended ones are forgotten.
constexpr int64_t RetryAfterMs = 1000;

size_t stepBytes(const jobs::StepSpec &step) {
  return sizeof(step) + step.After.size() * sizeof(step.After[0]) +
         step.Label.size() + step.Affinity.str().size() +
         step.Image.str().size();
}

} // namespace

size_t jobBytes(const jobs::JobSpec &spec, bool ended) {
  size_t bytes = BytesPerJob + spec.Content.size();
  for (const auto &step : spec.Steps)
    bytes += stepBytes(step);
  if (!ended)
    bytes += size_t(spec.occurrences() * jobs::tasksPerOccurrence(spec)) *
             BytesPerTask;
  return bytes;
}

JobAdmissionDecision decideJobRoom(size_t used, size_t limit) {
  if (used < limit)
    return {};
  return {false, RetryAfterMs,
          "too much work is open: jobs take " + std::to_string(used) + " of " +
              std::to_string(limit) + " bytes"};
}

} // namespace almondgate::policy
