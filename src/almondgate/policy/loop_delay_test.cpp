#include "almondgate/policy/loop_delay.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::policy;

namespace {

/// Records a delay every 10 ms from `from` on, for `ms` milliseconds.
void recordFor(LoopDelay &delay, int64_t from, int64_t ms, int64_t behind_ms) {
  constexpr int64_t StepMs = 10;
  for (int64_t at = from; at <= from + ms; at += StepMs)
    delay.record(core::TimeMs{at - behind_ms}, core::TimeMs{at});
}

} // namespace

// Jobs must not be refused because of one long iteration.
TEST_CASE("a single delay of the loop does not count") {
  LoopDelay delay;
  recordFor(delay, 1000, 600, 0);
  delay.record(core::TimeMs{1610}, core::TimeMs{2000});
  CHECK(delay.standing(core::TimeMs{2000}) == core::DurationMs{0});
  // Longer than the interval, as after a suspension of the process.
  delay.record(core::TimeMs{2010}, core::TimeMs{9000});
  CHECK(delay.standing(core::TimeMs{9000}) == core::DurationMs{0});
}

// A loop that stays behind must be noticed within the interval, by its smallest
// delay.
TEST_CASE("a loop that stays behind has a standing delay") {
  LoopDelay delay;
  recordFor(delay, 1000, 400, 150);
  CHECK(delay.standing(core::TimeMs{1400}) == core::DurationMs{0});
  recordFor(delay, 1410, 200, 250);
  CHECK(delay.standing(core::TimeMs{1610}) == core::DurationMs{150});
  recordFor(delay, 1620, 500, 250);
  CHECK(delay.standing(core::TimeMs{2120}) == core::DurationMs{250});
  delay.record(core::TimeMs{2010}, core::TimeMs{2130});
  CHECK(delay.standing(core::TimeMs{2130}) == core::DurationMs{120});
}

// Refusals must end as soon as the loop has caught up once.
TEST_CASE("a loop that has caught up is not behind") {
  LoopDelay delay;
  recordFor(delay, 1000, 1000, 300);
  CHECK(delay.standing(core::TimeMs{2000}) == core::DurationMs{300});
  delay.record(core::TimeMs{2010}, core::TimeMs{2010});
  CHECK(delay.standing(core::TimeMs{2010}) == core::DurationMs{0});
  delay.clear();
  CHECK(delay.standing(core::TimeMs{2020}) == core::DurationMs{0});
}

TEST_CASE("new jobs are refused while the leader is behind") {
  CHECK(decideOverload(core::DurationMs{0}).Accept);
  CHECK(decideOverload(core::DurationMs{100}).Accept);
  const auto refused = decideOverload(core::DurationMs{101});
  CHECK(!refused.Accept);
  CHECK(refused.RetryAfterMs == 500);
  CHECK(decideOverload(core::DurationMs{400}).RetryAfterMs == 1600);
  CHECK(decideOverload(core::DurationMs{5000}).RetryAfterMs == 3000);
}
