#include "almondgate/policy/fair_share.hpp"

#include <algorithm>
#include <tuple>

namespace almondgate::policy {

namespace {

struct Rank {
  bool Later;
  double Ratio;
  int64_t OldestMs;
  core::TeamId Team;
};

} // namespace

std::vector<core::TeamId> teamOrder(const std::vector<TeamLoad> &waiting) {
  double all_shares = 0;
  for (const auto &load : waiting)
    all_shares += double(load.Share);
  std::vector<Rank> ranks;
  for (const auto &load : waiting) {
    if (load.Running >= load.MaxRunning)
      continue;
    const double entitled = double(load.Share) / all_shares;
    const bool first = load.HasUrgent && load.DominantFraction < entitled;
    ranks.push_back({!first, load.DominantFraction / double(load.Share),
                     load.OldestMs, load.Team});
  }
  std::sort(ranks.begin(), ranks.end(), [](const Rank &a, const Rank &b) {
    return std::tie(a.Later, a.Ratio, a.OldestMs, a.Team) <
           std::tie(b.Later, b.Ratio, b.OldestMs, b.Team);
  });
  std::vector<core::TeamId> out;
  out.reserve(ranks.size());
  for (auto &rank : ranks)
    out.push_back(std::move(rank.Team));
  return out;
}

} // namespace almondgate::policy
