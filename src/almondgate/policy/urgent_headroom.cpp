#include "almondgate/policy/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

namespace {

constexpr core::DurationMs StartTarget{1000};
constexpr core::DurationMs PeakHalfLife{30000};

} // namespace

double UrgentHeadroom::peakAt(core::TimeMs now) const {
  const double halves =
      double((now - PeakAt).Count) / double(PeakHalfLife.Count);
  return Peak * std::exp2(-halves);
}

UrgentHeadroom UrgentHeadroom::withDemand(core::TimeMs now,
                                          int64_t demand) const {
  UrgentHeadroom out;
  out.Peak = std::max(peakAt(now), double(demand));
  out.PeakAt = now;
  return out;
}

int64_t UrgentHeadroom::slots(const PoolLoad &load) const {
  const auto run_ms = double(std::max<int64_t>(1, load.MeanBatchRun.Count));
  const double freed =
      double(load.BatchRunning) * double(StartTarget.Count) / run_ms;
  const double rise = peakAt(load.Now) - double(load.UrgentDemand);
  const auto wanted = int64_t(std::ceil(rise - freed));
  return std::clamp<int64_t>(wanted, 0, load.Slots / 2);
}

int64_t followingHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load) {
  return urgent.slots(load);
}

} // namespace almondgate::policy
