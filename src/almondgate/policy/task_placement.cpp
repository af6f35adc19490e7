#include "almondgate/policy/task_placement.hpp"

#include <algorithm>
#include <tuple>

namespace almondgate::policy {

namespace {

// An endpoint that failed this often in a row is the last choice.
constexpr int64_t BadStreak = 3;
// A lost endpoint takes at most one in so many of a step's tasks.
constexpr int64_t CapPart = 4;

int64_t freePercent(const PlacementOption &option) {
  constexpr int64_t Hundred = 100;
  const int64_t all = option.Capacity.MilliCpus;
  return all > 0 ? option.Free.MilliCpus * Hundred / all : 0;
}

// Smaller is better.
auto rank(const PlacementOption &option, const PlacementRequirements &need) {
  const bool bad = option.ConsecutiveFailures >= BadStreak;
  if (need.LongRunning)
    return std::make_tuple(bad, !option.NearData,
                           option.SameStep >= need.MaxStepTasks,
                           option.SameStepOnRack, option.LongRunningTasks == 0,
                           option.SameStep, -freePercent(option));
  return std::make_tuple(bad, !option.NearData, false, int64_t{0}, false,
                         int64_t{0}, freePercent(option));
}

} // namespace

int64_t maxTasksPerEndpoint(int64_t count, int64_t may_miss) {
  return std::max({int64_t{2}, may_miss, (count + CapPart - 1) / CapPart});
}

std::optional<size_t>
choosePlacement(const std::vector<PlacementOption> &options,
                const PlacementRequirements &need) {
  std::optional<size_t> best;
  for (size_t i = 0; i < options.size(); ++i) {
    const bool fit = core::fits(need.Need, options[i].Free) &&
                     (options[i].NearData || !need.OnlyNearData);
    if (!fit)
      continue;
    if (!best || rank(options[i], need) < rank(options[*best], need))
      best = i;
  }
  return best;
}

} // namespace almondgate::policy
