#include "almondgate/policy/job_timing.hpp"

#include <algorithm>
#include <vector>

namespace almondgate::policy {

namespace {

core::Error invalid(std::string text) {
  return {core::ErrorCode::InvalidArgument, std::move(text)};
}

core::Error invalidStep(size_t index, const std::string &reason) {
  return invalid("step " + std::to_string(index) + " " + reason);
}

core::Status checkStep(const jobs::JobSpec &spec, size_t index) {
  const auto &step = spec.Steps[index];
  if (step.Count < 1 || step.Count > MaxTasksPerJob)
    return invalidStep(index, "has " + std::to_string(step.Count) +
                                  " tasks, but must have 1 to " +
                                  std::to_string(MaxTasksPerJob));
  const bool negative = step.Need.MilliCpus < 0 || step.Need.MemoryMb < 0 ||
                        step.Need.Accelerators < 0 || step.EstimateMs < 0 ||
                        step.AntiAffinity < 0 || step.MayMiss < 0;
  if (negative)
    return invalidStep(index, "has a negative size, estimate or limit");
  const bool ordered =
      std::all_of(step.After.begin(), step.After.end(), [&](int64_t earlier) {
        return earlier >= 0 && earlier < int64_t(index);
      });
  if (!ordered)
    return invalidStep(index, "may only depend on earlier steps");
  return core::ok();
}

} // namespace

core::Status checkJob(const jobs::JobSpec &spec) {
  if (spec.Steps.empty())
    return invalid("a job needs at least one step");
  if (spec.Repetitions < 0 || spec.Repetitions > MaxTasksPerJob)
    return invalid("the job has " + std::to_string(spec.Repetitions) +
                   " repetitions, but must have 0 to " +
                   std::to_string(MaxTasksPerJob));
  if (spec.Repetitions > 0 && spec.IntervalMs < 0)
    return invalid("the interval of " + std::to_string(spec.IntervalMs) +
                   " ms must not be negative");
  int64_t tasks = 0;
  for (size_t i = 0; i < spec.Steps.size(); ++i) {
    if (auto good = checkStep(spec, i); !good)
      return good;
    tasks += spec.Steps[i].Count;
  }
  if (tasks * spec.occurrences() > MaxTasksPerJob)
    return invalid("the job has " + std::to_string(tasks * spec.occurrences()) +
                   " tasks, but must have at most " +
                   std::to_string(MaxTasksPerJob));
  return core::ok();
}

int64_t longestChainMs(const jobs::JobSpec &spec, const PredictStep &predict) {
  std::vector<int64_t> ends;
  int64_t longest = 0;
  for (const auto &step : spec.Steps) {
    int64_t begin = 0;
    for (const int64_t earlier : step.After)
      begin = std::max(begin, ends[earlier]);
    ends.push_back(begin + predict(step));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

int64_t chainFromMs(const jobs::JobSpec &spec, int64_t step,
                    const PredictStep &predict) {
  std::vector<int64_t> rest(spec.Steps.size(), 0);
  for (size_t i = spec.Steps.size(); i-- > 0;) {
    rest[i] += predict(spec.Steps[i]);
    for (const int64_t earlier : spec.Steps[i].After)
      rest[earlier] = std::max(rest[earlier], rest[i]);
  }
  return rest[step];
}

int64_t workOf(const jobs::JobSpec &spec, const PredictStep &predict) {
  int64_t work = 0;
  for (const auto &step : spec.Steps)
    if (!step.LongRunning)
      work += step.Count * step.Need.MilliCpus * predict(step);
  return work;
}

} // namespace almondgate::policy
