#ifndef ALMONDGATE_POLICY_DURATION_MODEL_HPP
#define ALMONDGATE_POLICY_DURATION_MODEL_HPP

#include <cstdint>

namespace almondgate::policy {

/// Predicts the run times of a queue's tasks from submitters' estimates and
/// observed run times. Estimates are often wrong by large factors, so each is
/// shrunk towards the queue's mean, the more so the less past estimates
/// correlated with run times. The model is a linear regression of log run time
/// on log estimate, with a prior that dominates until enough runs were
/// observed.
class DurationModel {
public:
  /// Adds a task that ran to its end. Both values are in milliseconds; 0 counts
  /// as 1.
  void observe(int64_t estimate_ms, int64_t ran_ms);

  /// Adds the estimate of a newly accepted job's step. Before the first run is
  /// observed, the mean estimate is the best prediction of the mean run time.
  void recordEstimate(int64_t estimate_ms);

  /// The predicted run time of a task with this estimate, in milliseconds.
  int64_t predict(int64_t estimate_ms) const;

private:
  /// Number and sum of the logs of all estimates.
  double Estimates = 0;
  double EstimateSum = 0;
  /// Sums over observed runs; X is the log of the estimate, Y that of the run
  /// time.
  double Observed = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  /// Sum of run times in milliseconds. Predictions are scaled by the ratio of
  /// the arithmetic to the geometric mean, so that they predict the former.
  double SumRan = 0;
};

} // namespace almondgate::policy

#endif
