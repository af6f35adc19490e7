#include "almondgate/policy/ejection.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

constexpr int64_t FewestRuns = 3;
constexpr double EjectionRate = 0.5;
constexpr double RateAboveOthers = 0.3;
constexpr double LargestEjectedPart = 0.3;

double rate(int64_t failures, int64_t runs) {
  return runs > 0 ? double(failures) / double(runs) : 0;
}

} // namespace

bool mustEject(const EjectionStats &c) {
  if (c.Runs < FewestRuns)
    return false;
  const double own = rate(c.Failures, c.Runs);
  const double others = rate(c.OtherFailures, c.OtherRuns);
  if (own < EjectionRate || own < others + RateAboveOthers)
    return false;
  const auto most =
      std::max<int64_t>(1, int64_t(LargestEjectedPart * double(c.PoolSize)));
  return c.PoolSize > 1 && c.AlreadyEjected < most;
}

bool restOfPoolFails(const EjectionStats &c) {
  return c.OtherRuns >= FewestRuns &&
         rate(c.OtherFailures, c.OtherRuns) >= EjectionRate;
}

} // namespace almondgate::policy
