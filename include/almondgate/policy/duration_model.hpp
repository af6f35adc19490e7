#ifndef ALMONDGATE_POLICY_DURATION_MODEL_HPP
#define ALMONDGATE_POLICY_DURATION_MODEL_HPP

#include <cstdint>

namespace almondgate::policy {

/// Learns how long a queue's tasks run from what submitters estimate and what
/// was seen. Estimates are often wrong by large factors, so each is drawn
/// towards the queue's mean by as much as it has been wrong: a regression of
/// the logarithms, held to a prior until enough has been seen.
class DurationModel {
public:
  /// A task ran to its end. Both in milliseconds; 0 is taken as 1.
  void observe(int64_t estimate_ms, int64_t ran_ms);

  /// A job with such an estimate came; before the first end is seen, the mean
  /// of the estimates is the best guess of the mean run time.
  void recordEstimate(int64_t estimate_ms);

  /// The expected run time of a task with this estimate, in milliseconds.
  int64_t predict(int64_t estimate_ms) const;

private:
  double Estimates = 0;
  double EstimateSum = 0;
  double Seen = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  /// Mean of run time over its logarithmic mean, to expect the mean.
  double SumRan = 0;
};

} // namespace almondgate::policy

#endif
