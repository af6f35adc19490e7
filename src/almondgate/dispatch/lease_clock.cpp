#include "almondgate/dispatch/lease_clock.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;

namespace {

constexpr int64_t Hundred = 100;

} // namespace

void LeaseClock::observe(int64_t clock_ms, TimeMs now) {
  // Answers may arrive out of order: the later clock is the better bound. A
  // clock that is far behind stood still for a while.
  const int64_t behind = Received ? earliestClock(now) - clock_ms : 0;
  if (behind > 0 && behind <= LowerTolerance.Count)
    return;
  ClockMs = clock_ms;
  Received = now;
}

bool LeaseClock::matches(int64_t clock_ms, TimeMs given, TimeMs now) const {
  if (!Received)
    return true;
  const int64_t earliest =
      std::min(earliestClock(given), ClockMs + (given - *Received).Count);
  const int64_t latest = ClockMs + (now - *Received).Count;
  return clock_ms >= earliest - LowerTolerance.Count &&
         clock_ms <= latest + UpperTolerance.Count;
}

// The least that the endpoint's clock can show at `now`.
int64_t LeaseClock::earliestClock(TimeMs now) const {
  const int64_t passed = (now - *Received).Count;
  return ClockMs +
         passed * (Hundred - LeaseTerms::MaxClockLagPercent) / Hundred;
}

int64_t LeaseClock::grant(TimeMs now, DurationMs lease) {
  Granted = std::max(Granted, earliestClock(now) + lease.Count);
  return Granted;
}

bool LeaseClock::mayHoldRuns(TimeMs now, DurationMs behind) const {
  if (now < AssumedUntil)
    return true;
  return Received && Granted + Terms.endAllowance().Count >
                         earliestClock(now) - behind.Count;
}

std::string LeaseClock::describe(TimeMs now) const {
  if (!Received)
    return "clock not known";
  return "lease granted until " + std::to_string(Granted) +
         " by its clock, which shows at least " +
         std::to_string(earliestClock(now));
}

} // namespace almondgate::dispatch
