#include "almondgate/jobs/job_limits.hpp"
#include "almondgate/jobs/name_limits.hpp"

#include <algorithm>
#include <string>

namespace almondgate::jobs {

namespace {

core::Error invalid(std::string text) {
  return {core::ErrorCode::InvalidArgument, std::move(text)};
}

core::Error invalidStep(size_t index, const std::string &reason) {
  return invalid("step " + std::to_string(index) + " " + reason);
}

core::Error tooMany(const std::string &what, int64_t n, int64_t max) {
  return invalid("the job has " + std::to_string(n) + " " + what +
                 ", but must have at most " + std::to_string(max));
}

bool isInRange(int64_t n, int64_t max) { return n >= 0 && n <= max; }

bool hasValidAmounts(const StepSpec &step) {
  return isInRange(step.Need.MilliCpus, MaxTaskAmount) &&
         isInRange(step.Need.MemoryMb, MaxTaskAmount) &&
         isInRange(step.Need.Accelerators, MaxTaskAmount) &&
         isInRange(step.EstimateMs, MaxEstimateMs) &&
         isInRange(step.TargetMs, MaxEstimateMs) &&
         isInRange(step.AntiAffinity, MaxTaskAmount) &&
         isInRange(step.MayMiss, MaxTaskAmount);
}

bool hasValidNames(const StepSpec &step) {
  return step.Label.size() <= MaxNameBytes &&
         step.Affinity.str().size() <= MaxNameBytes &&
         step.Image.str().size() <= MaxNameBytes;
}

core::Status checkStep(const StepSpec &step, size_t index) {
  if (step.Count < 1 || step.Count > MaxTasksPerJob)
    return invalidStep(index, "has " + std::to_string(step.Count) +
                                  " tasks, but must have 1 to " +
                                  std::to_string(MaxTasksPerJob));
  if (step.Gang && step.Count > MaxGangTasks)
    return invalidStep(index, "must start " + std::to_string(step.Count) +
                                  " tasks together, but at most " +
                                  std::to_string(MaxGangTasks) + " may be");
  if (!hasValidAmounts(step))
    return invalidStep(index,
                       "has a size, estimate or limit that is negative or "
                       "too large");
  if (!hasValidNames(step))
    return invalidStep(index, "has a label, rack or image of more than " +
                                  std::to_string(MaxNameBytes) + " bytes");
  const bool ordered =
      std::all_of(step.After.begin(), step.After.end(), [&](int64_t earlier) {
        return earlier >= 0 && earlier < int64_t(index);
      });
  if (!ordered)
    return invalidStep(index, "may only depend on earlier steps");
  return core::ok();
}

core::Status checkSchedule(const JobSpec &spec) {
  if (!isInRange(spec.Repetitions, MaxTasksPerJob))
    return invalid("the job has " + std::to_string(spec.Repetitions) +
                   " repetitions, but must have 0 to " +
                   std::to_string(MaxTasksPerJob));
  if (spec.Repetitions == 0)
    return core::ok();
  if (!isInRange(spec.IntervalMs, MaxIntervalMs))
    return invalid("the interval of " + std::to_string(spec.IntervalMs) +
                   " ms is not in 0 to " + std::to_string(MaxIntervalMs));
  if (!isInRange(spec.StartAtMs, MaxStartAtMs))
    return invalid("the start time of " + std::to_string(spec.StartAtMs) +
                   " ms is not in 0 to " + std::to_string(MaxStartAtMs));
  return core::ok();
}

// In floating point, because the product may exceed the range of int64_t.
double estimatedWork(const StepSpec &step) {
  return step.LongRunning ? 0
                          : double(step.Count) * double(step.Need.MilliCpus) *
                                double(step.EstimateMs);
}

} // namespace

core::Status checkJob(const JobSpec &spec) {
  if (spec.Content.size() > MaxContentBytes)
    return invalid(
        "the job's content has " + std::to_string(spec.Content.size()) +
        " bytes, but must have at most " + std::to_string(MaxContentBytes));
  if (spec.Steps.empty())
    return invalid("a job needs at least one step");
  if (spec.Steps.size() > MaxSteps)
    return tooMany("steps", int64_t(spec.Steps.size()), MaxSteps);
  if (auto good = checkSchedule(spec); !good)
    return good;
  int64_t tasks = 0;
  size_t dependencies = 0;
  double work = 0;
  for (size_t i = 0; i < spec.Steps.size(); ++i) {
    if (auto good = checkStep(spec.Steps[i], i); !good)
      return good;
    tasks += spec.Steps[i].Count;
    dependencies += spec.Steps[i].After.size();
    work += estimatedWork(spec.Steps[i]);
  }
  if (tasks * spec.occurrences() > MaxTasksPerJob)
    return tooMany("tasks", tasks * spec.occurrences(), MaxTasksPerJob);
  if (dependencies > MaxDependencies)
    return tooMany("dependencies between steps", int64_t(dependencies),
                   MaxDependencies);
  if (work > double(MaxWork))
    return invalid("the job's estimated work is too large");
  return core::ok();
}

} // namespace almondgate::jobs
