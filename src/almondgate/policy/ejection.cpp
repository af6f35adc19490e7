#include "almondgate/policy/ejection.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

// An endpoint with fewer runs is not assessed.
constexpr int64_t MinRuns = 3;
// Ejection requires at least this failure rate, and a rate that exceeds that of
// the rest of the pool by MinRateDifference.
constexpr double MinFailureRate = 0.5;
constexpr double MinRateDifference = 0.3;
// Fraction of a pool that may be ejected at the same time.
constexpr double MaxEjectedFraction = 0.3;

double rate(int64_t failures, int64_t runs) {
  return runs > 0 ? double(failures) / double(runs) : 0;
}

} // namespace

bool mustEject(const EjectionStats &stats) {
  if (stats.Runs < MinRuns)
    return false;
  const double own = rate(stats.Failures, stats.Runs);
  const double others = rate(stats.OtherFailures, stats.OtherRuns);
  if (own < MinFailureRate || own < others + MinRateDifference)
    return false;
  const auto max_ejected = std::max<int64_t>(
      1, int64_t(MaxEjectedFraction * double(stats.PoolSize)));
  return stats.PoolSize > 1 && stats.AlreadyEjected < max_ejected;
}

bool restOfPoolFails(const EjectionStats &stats) {
  return stats.OtherRuns >= MinRuns &&
         rate(stats.OtherFailures, stats.OtherRuns) >= MinFailureRate;
}

} // namespace almondgate::policy
