#include "almondgate/policy/duration_model.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

namespace {

// Slope of log run time over log estimate that is assumed before any run was
// observed.
constexpr double PriorSlope = 0.3;
// Weight of the prior slope, as a sum of squared deviations of log estimates.
constexpr double PriorSpread = 20;
// After this many observed runs all sums are multiplied by Decay, so that old
// runs lose weight.
constexpr double MaxObserved = 400;
constexpr double Decay = 0.5;
// Weight of the mean estimate in the mean run time, in observed runs.
constexpr double PriorRuns = 4;

double logOf(int64_t ms) { return std::log(double(std::max<int64_t>(ms, 1))); }

} // namespace

void DurationModel::recordEstimate(int64_t estimate_ms) {
  Estimates += 1;
  EstimateSum += logOf(estimate_ms);
}

void DurationModel::observe(int64_t estimate_ms, int64_t ran_ms) {
  if (Observed >= MaxObserved)
    for (double *sum : {&Observed, &SumX, &SumY, &SumXX, &SumXY, &SumRan})
      *sum *= Decay;
  const double x = logOf(estimate_ms);
  const double y = logOf(ran_ms);
  Observed += 1;
  SumX += x;
  SumY += y;
  SumXX += x * x;
  SumXY += x * y;
  SumRan += double(ran_ms);
}

int64_t DurationModel::predict(int64_t estimate_ms) const {
  const double x = logOf(estimate_ms);
  const double mean_estimate = Estimates > 0 ? EstimateSum / Estimates : x;
  if (Observed < 1)
    return std::llround(
        std::exp(mean_estimate + PriorSlope * (x - mean_estimate)));
  const double mean_x = SumX / Observed;
  const double mean_y = SumY / Observed;
  const double var = SumXX - Observed * mean_x * mean_x;
  const double cov = SumXY - Observed * mean_x * mean_y;
  const double slope = std::clamp(
      (cov + PriorSlope * PriorSpread) / (var + PriorSpread), 0.0, 1.0);
  const double center =
      (mean_y * Observed + mean_estimate * PriorRuns) / (Observed + PriorRuns);
  // The arithmetic mean exceeds the geometric mean, which the regression of
  // logs yields.
  const double correction = std::max(1.0, SumRan / Observed / std::exp(mean_y));
  return std::llround(correction * std::exp(center + slope * (x - mean_x)));
}

} // namespace almondgate::policy
