#include "almondgate/dispatch/lease_terms.hpp"

namespace almondgate::dispatch {

core::TimeMs LeaseTerms::latestExpiry(core::TimeMs began) const {
  constexpr int64_t Hundred = 100;
  constexpr int64_t Slowest = Hundred - MaxClockLagPercent;
  const int64_t longest = (Longest.Count * Hundred + Slowest - 1) / Slowest;
  return began + core::DurationMs{longest} + SafetyMargin;
}

} // namespace almondgate::dispatch
