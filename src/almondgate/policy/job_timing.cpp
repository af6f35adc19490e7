#include "almondgate/policy/job_timing.hpp"

#include <algorithm>
#include <vector>

namespace almondgate::policy {

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

bool hasLongRunning(const jobs::JobSpec &spec) {
  return std::any_of(spec.Steps.begin(), spec.Steps.end(),
                     [](const auto &step) { return step.LongRunning; });
}

} // namespace almondgate::policy
