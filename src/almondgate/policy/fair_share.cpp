#include "almondgate/policy/fair_share.hpp"

#include <algorithm>
#include <tuple>

namespace almondgate::policy {

namespace {

// Sort key of a team; lower ranks get the next slot first.
struct Rank {
  // The team has no urgent requests, or has used up its entitlement.
  bool NotUrgent;
  // Dominant fraction per unit of share.
  double Ratio;
  int64_t OldestMs;
  core::TeamId Team;
};

} // namespace

std::vector<core::TeamId> teamOrder(const std::vector<TeamLoad> &waiting) {
  double total_share = 0;
  for (const auto &load : waiting)
    total_share += double(load.Share);
  std::vector<Rank> ranks;
  for (const auto &load : waiting) {
    if (load.Running >= load.MaxRunning)
      continue;
    const double entitled = double(load.Share) / total_share;
    const bool urgent = load.HasUrgent && load.DominantFraction < entitled;
    ranks.push_back({!urgent, load.DominantFraction / double(load.Share),
                     load.OldestMs, load.Team});
  }
  std::sort(ranks.begin(), ranks.end(), [](const Rank &a, const Rank &b) {
    return std::tie(a.NotUrgent, a.Ratio, a.OldestMs, a.Team) <
           std::tie(b.NotUrgent, b.Ratio, b.OldestMs, b.Team);
  });
  std::vector<core::TeamId> out;
  out.reserve(ranks.size());
  for (auto &rank : ranks)
    out.push_back(std::move(rank.Team));
  return out;
}

} // namespace almondgate::policy
