#include "almondgate/dispatch/lease_clock.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace almondgate;
using namespace almondgate::dispatch;
using core::DurationMs;
using core::TimeMs;

namespace {

constexpr TimeMs Start{1000000};
constexpr int64_t ClockMs = 50000;
constexpr DurationMs Second{1000};

// Endpoints end their runs at once.
constexpr LeaseTerms Terms{DurationMs{6000}, DurationMs{0}};

LeaseClock observedClock() {
  LeaseClock clock(Terms);
  clock.observe(ClockMs, Start);
  return clock;
}

} // namespace

TEST_CASE("the clock of an answer shows which incarnation gave it") {
  const auto clock = observedClock();
  const TimeMs now = Start + Second * 10;
  struct Case {
    int64_t ClockMs;
    bool Matches;
  };
  const std::vector<Case> cases = {
      {ClockMs + 10000, true},  {ClockMs + 9800, true},
      {ClockMs + 9000, false},  {ClockMs + 11900, true},
      {ClockMs + 12100, false}, {0, false},
      {ClockMs * 9, false},
  };
  for (const auto &c : cases) {
    CAPTURE(c.ClockMs);
    CHECK(clock.matches(c.ClockMs, now, now) == c.Matches);
  }
  CHECK(LeaseClock().matches(0, now, now));
}

// Guards against a lease that is taken for expired too early, and against
// answers taken for another incarnation's for good.
TEST_CASE("a clock that stood still is followed again") {
  constexpr DurationMs Lease{3000};
  auto clock = observedClock();
  const TimeMs now = Start + Second * 10;
  const int64_t shown = ClockMs + 2000;
  clock.observe(shown, now);
  CHECK(clock.matches(shown, now, now));
  CHECK(clock.grant(now, Lease) == shown + Lease.Count);
  CHECK(clock.mayHoldRuns(now + Second * 3));
  CHECK_FALSE(clock.mayHoldRuns(now + Second * 4));
}

TEST_CASE("a lease that begins at an unknown time ends after the longest") {
  const TimeMs end = Terms.latestExpiry(Start);
  CHECK(end - Start == DurationMs{6123} + LeaseTerms::SafetyMargin);
  LeaseClock clock(Terms);
  clock.assumeRunsUntil(end);
  CHECK(clock.mayHoldRuns(end - DurationMs{1}));
  CHECK_FALSE(clock.mayHoldRuns(end));
}

// Guards against tasks that ran twice: their endpoint was still ending the
// first run after its lease had expired.
TEST_CASE("runs are not over before their endpoint had time to end them") {
  constexpr DurationMs Lease{3000};
  constexpr DurationMs RunEnd{900};
  const LeaseTerms slow{Terms.Longest, RunEnd};
  CHECK(slow.latestEnd(Start) == Terms.latestExpiry(Start) + RunEnd);
  LeaseClock clock(slow);
  clock.observe(ClockMs, Start);
  clock.grant(Start, Lease);
  // The clock may show 2 % less than what has passed.
  CHECK(clock.mayHoldRuns(Start + Lease + slow.endAllowance()));
  CHECK_FALSE(clock.mayHoldRuns(
      Start + (Lease + slow.endAllowance()) * 50 / 49 + DurationMs{1}));
}
