#include "almondgate/policy/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

namespace {

// Slots that batch work frees within this time are available to urgent work.
constexpr core::DurationMs StartTarget{1000};
// Time constant of the smoothed arrival rate.
constexpr core::DurationMs SmoothingTime{1000};
// Demand may rise above its mean by this many standard deviations of a Poisson
// distributed count.
constexpr double Deviations = 3;
constexpr core::DurationMs PeakHalfLife{90000};

} // namespace

double UrgentHeadroom::peakAt(core::TimeMs now) const {
  const double half_lives =
      double((now - PeakAt).Count) / double(PeakHalfLife.Count);
  return Peak * std::exp2(-half_lives);
}

UrgentHeadroom UrgentHeadroom::withArrival(core::TimeMs now) const {
  const auto passed = double((now - PeakAt).Count);
  const double kept = std::exp(-passed / double(SmoothingTime.Count));
  UrgentHeadroom out;
  // Each arrival adds 1 / SmoothingTime to the rate.
  out.Rate = Rate * kept + 1 / double(SmoothingTime.Count);
  out.Peak = std::max(peakAt(now), out.Rate);
  out.PeakAt = now;
  return out;
}

int64_t UrgentHeadroom::slots(const PoolLoad &load) const {
  const auto run_ms = double(std::max<int64_t>(1, load.MeanBatchRun.Count));
  const double freed =
      double(load.BatchRunning) * double(StartTarget.Count) / run_ms;
  // Little's law: the number of running requests is the arrival rate times the
  // mean run time.
  const double most = peakAt(load.Now) * double(load.MeanUrgentRun.Count);
  const double rise = most - double(load.UrgentRunning);
  const double spread = Deviations * std::sqrt(double(load.UrgentRunning));
  // Rounding errors may put the sum slightly above a whole number, which
  // std::ceil would round up.
  constexpr double RoundingTolerance = 1e-9;
  const auto wanted =
      int64_t(std::ceil(std::max(rise, spread) - freed - RoundingTolerance));
  return std::clamp<int64_t>(wanted, 0, load.Slots / 2);
}

int64_t adaptiveHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load) {
  return urgent.slots(load);
}

} // namespace almondgate::policy
