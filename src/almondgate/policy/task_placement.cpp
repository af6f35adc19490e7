#include "almondgate/policy/task_placement.hpp"

#include <algorithm>
#include <tuple>

namespace almondgate::policy {

namespace {

// An endpoint with this many consecutive failures is chosen last.
constexpr int64_t MaxConsecutiveFailures = 3;
// The loss of an endpoint affects at most one in this many of a step's tasks.
constexpr int64_t TasksPerLoss = 4;

int64_t freePercent(const PlacementOption &option) {
  constexpr int64_t Hundred = 100;
  const int64_t all = option.Capacity.MilliCpus;
  return all > 0 ? option.Free.MilliCpus * Hundred / all : 0;
}

// Sort key of an option; the smallest is chosen.
auto rank(const PlacementOption &option, const PlacementRequirements &need) {
  const bool failing = option.ConsecutiveFailures >= MaxConsecutiveFailures;
  if (need.LongRunning)
    return std::make_tuple(failing, option.Cold, !option.NearData,
                           option.SameStep >= need.MaxStepTasks,
                           option.SameStepOnRack, option.LongRunningTasks == 0,
                           option.SameStep, -freePercent(option));
  return std::make_tuple(failing, option.Cold, !option.NearData, false,
                         int64_t{0}, false, int64_t{0}, freePercent(option));
}

} // namespace

int64_t maxTasksPerEndpoint(int64_t count, int64_t may_miss) {
  return std::max(
      {int64_t{2}, may_miss, (count + TasksPerLoss - 1) / TasksPerLoss});
}

std::optional<size_t>
choosePlacement(const std::vector<PlacementOption> &options,
                const PlacementRequirements &need) {
  std::optional<size_t> best;
  for (size_t i = 0; i < options.size(); ++i) {
    if (!core::fits(need.Need, options[i].Free))
      continue;
    if (!best || rank(options[i], need) < rank(options[*best], need))
      best = i;
  }
  return best;
}

} // namespace almondgate::policy
