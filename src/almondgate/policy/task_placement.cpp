#include "almondgate/policy/task_placement.hpp"

#include <tuple>

namespace almondgate::policy {

namespace {

// An endpoint that failed this often in a row is the last choice.
constexpr int64_t BadStreak = 3;

int64_t freePercent(const PlacementOption &option) {
  constexpr int64_t Hundred = 100;
  const int64_t all = option.Capacity.MilliCpus;
  return all > 0 ? option.Free.MilliCpus * Hundred / all : 0;
}

// Smaller is better.
auto rank(const PlacementOption &option, const PlacementNeed &need) {
  const bool bad = option.FailuresInRow >= BadStreak;
  if (need.Spread)
    return std::make_tuple(bad, !option.NearData, option.SameStep,
                           option.SameStepOnRack, -option.Lasting,
                           -freePercent(option));
  return std::make_tuple(bad, !option.NearData, int64_t{0}, int64_t{0},
                         int64_t{0}, freePercent(option));
}

} // namespace

std::optional<size_t> choosePlace(const std::vector<PlacementOption> &options,
                                  const PlacementNeed &need) {
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
