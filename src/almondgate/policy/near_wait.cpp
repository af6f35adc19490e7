#include "almondgate/policy/near_wait.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

namespace {

// A wait is worthwhile if it is expected to last less than this share of what
// it saves. The place would serve a later task at once otherwise, so where a
// rack is in constant demand, longer waits only add up: with 100 %, tasks wait
// until all of the saving is used up (docs/design/near-wait.md).
constexpr int64_t MaxExpectedPercent = 25;
// The same where only a nearby place meets the due time. With 100 %, 85 % of a
// contended rack's jobs were on time instead of 82 %, but the mean completion
// time was 11 % longer.
constexpr int64_t MaxExpectedPercentIfOnlyNearOnTime = 50;
constexpr int64_t PercentScale = 100;

} // namespace

NearWaitDecision decideNearWait(const NearWaitInput &input) {
  const auto leave = [](NearWaitReason reason) {
    return NearWaitDecision{false, 0, reason};
  };
  const int64_t saving = std::llround(double(input.NearRunMs) *
                                      std::max(0.0, input.RemoteFactor - 1));
  if (!input.ExpectedWaitMs)
    return leave(NearWaitReason::NoCapacity);
  if (input.WaitedMs > 0 && input.WaitedMs >= saving)
    return leave(NearWaitReason::BoundReached);
  const bool remote_is_late = input.SlackMs < saving;
  const bool near_is_late = input.SlackMs < *input.ExpectedWaitMs;
  const int64_t max_percent = remote_is_late && !near_is_late
                                  ? MaxExpectedPercentIfOnlyNearOnTime
                                  : MaxExpectedPercent;
  if (*input.ExpectedWaitMs * PercentScale >= saving * max_percent)
    return leave(NearWaitReason::TooLong);
  if (remote_is_late && near_is_late && input.PoolIdle)
    return leave(NearWaitReason::PoolIdle);
  // If the due time could be met elsewhere when the wait began, the wait ends
  // while that is still possible.
  int64_t limit = saving;
  const int64_t slack_at_start = input.SlackMs + input.WaitedMs;
  if (slack_at_start >= saving)
    limit = std::min(limit, slack_at_start - saving);
  // A wait that would end before the place is expected is of no use.
  const int64_t left = limit - input.WaitedMs;
  if (left <= 0 || *input.ExpectedWaitMs > left)
    return leave(limit < saving ? NearWaitReason::DueTime
                                : NearWaitReason::BoundReached);
  return {true, left, NearWaitReason::Worthwhile};
}

const char *nearWaitReasonName(NearWaitReason reason) {
  switch (reason) {
  case NearWaitReason::Worthwhile:
    return "worthwhile";
  case NearWaitReason::NoCapacity:
    return "no-capacity";
  case NearWaitReason::TooLong:
    return "too-long";
  case NearWaitReason::BoundReached:
    return "bound-reached";
  case NearWaitReason::DueTime:
    return "due-time";
  case NearWaitReason::PoolIdle:
    return "pool-idle";
  }
  return "unknown";
}

} // namespace almondgate::policy
