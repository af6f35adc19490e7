#include "almondgate/policy/duration_model.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

namespace {

// Before anything is seen, an estimate counts for this part of its logarithm.
constexpr double PriorSlope = 0.3;
// The prior weighs as much as this much spread of estimates.
constexpr double PriorSpread = 20;
// Older runs fade once this many have been seen.
constexpr double MostSeen = 400;
constexpr double Fade = 0.5;
// A mean of fewer runs is mixed with that of the estimates.
constexpr double PriorRuns = 4;

double logOf(int64_t ms) { return std::log(double(std::max<int64_t>(ms, 1))); }

} // namespace

void DurationModel::recordEstimate(int64_t estimate_ms) {
  Estimates += 1;
  EstimateSum += logOf(estimate_ms);
}

void DurationModel::observe(int64_t estimate_ms, int64_t ran_ms) {
  if (Seen >= MostSeen)
    for (double *sum : {&Seen, &SumX, &SumY, &SumXX, &SumXY, &SumRan})
      *sum *= Fade;
  const double x = logOf(estimate_ms);
  const double y = logOf(ran_ms);
  Seen += 1;
  SumX += x;
  SumY += y;
  SumXX += x * x;
  SumXY += x * y;
  SumRan += double(ran_ms);
}

int64_t DurationModel::predict(int64_t estimate_ms) const {
  const double x = logOf(estimate_ms);
  const double mean_estimate = Estimates > 0 ? EstimateSum / Estimates : x;
  if (Seen < 1)
    return std::llround(
        std::exp(mean_estimate + PriorSlope * (x - mean_estimate)));
  const double mean_x = SumX / Seen;
  const double mean_y = SumY / Seen;
  const double var = SumXX - Seen * mean_x * mean_x;
  const double cov = SumXY - Seen * mean_x * mean_y;
  const double slope = std::clamp(
      (cov + PriorSlope * PriorSpread) / (var + PriorSpread), 0.0, 1.0);
  const double centre =
      (mean_y * Seen + mean_estimate * PriorRuns) / (Seen + PriorRuns);
  // The mean lies above the logarithmic mean.
  const double lift = std::max(1.0, SumRan / Seen / std::exp(mean_y));
  return std::llround(lift * std::exp(centre + slope * (x - mean_x)));
}

} // namespace almondgate::policy
