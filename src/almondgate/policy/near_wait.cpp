#include "almondgate/policy/near_wait.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

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
  if (*input.ExpectedWaitMs >= saving)
    return leave(NearWaitReason::TooLong);
  const bool remote_is_late = input.SlackMs < saving;
  const bool near_is_late = input.SlackMs < *input.ExpectedWaitMs;
  if (remote_is_late && near_is_late && input.PoolIdle)
    return leave(NearWaitReason::PoolIdle);
  // If the due time could be met elsewhere when the wait began, the wait ends
  // while that is still possible.
  int64_t limit = saving;
  const int64_t slack_at_start = input.SlackMs + input.WaitedMs;
  if (slack_at_start >= saving)
    limit = std::min(limit, slack_at_start - saving);
  if (input.WaitedMs >= limit)
    return leave(NearWaitReason::DueTime);
  return {true, limit - input.WaitedMs, NearWaitReason::Worthwhile};
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
