#ifndef ALMONDGATE_POLICY_NEAR_WAIT_HPP
#define ALMONDGATE_POLICY_NEAR_WAIT_HPP

#include <cstdint>
#include <optional>

namespace almondgate::policy {

/// A task, or a gang, that could start now away from its preferred rack, and
/// that finds no capacity near. All times are in milliseconds.
struct NearWaitInput {
  /// Expected run time near.
  int64_t NearRunMs = 0;
  /// How many times as long it takes elsewhere.
  double RemoteFactor = 1;
  /// Expected time until a nearby place becomes free for it; empty if the near
  /// endpoints can't free enough capacity.
  std::optional<int64_t> ExpectedWaitMs;
  /// How long it has waited already.
  int64_t WaitedMs = 0;
  /// Time left until it must start near for its job to meet the due time;
  /// negative once that has passed.
  int64_t SlackMs = 0;
  /// At least half of the pool's capacity elsewhere is free.
  bool PoolIdle = false;

  bool operator==(const NearWaitInput &) const = default;
};

enum class NearWaitReason {
  /// By expectation, it ends clearly earlier near than elsewhere.
  Worthwhile,
  /// The near endpoints can't free enough capacity.
  NoCapacity,
  /// By expectation, the wait takes too much of what it saves.
  TooLong,
  /// The wait has lasted as long as it could save, or is expected to.
  BoundReached,
  /// A longer wait, or one as long as expected, would take the last chance to
  /// meet the due time elsewhere.
  DueTime,
  /// The due time is missed either way, and the pool has capacity to spare.
  PoolIdle,
};

/// Whether a task waits for a nearby place.
struct NearWaitDecision {
  bool Wait = false;
  /// How much longer it waits at most; 0 if it goes elsewhere.
  int64_t AtMostMs = 0;
  NearWaitReason Reason = NearWaitReason::TooLong;

  bool operator==(const NearWaitDecision &) const = default;
};

/// Decides whether to wait for a nearby place or to start elsewhere. The whole
/// wait lasts at most as long as it could save, so that the task takes less
/// than twice as long as with perfect foresight, however wrong the expectation
/// is. Source of the bound: Karlin, Manasse, Rudolph and Sleator, Competitive
/// snoopy caching, Algorithmica 3, 1988.
NearWaitDecision decideNearWait(const NearWaitInput &input);

/// Returns the name of a reason, such as "bound-reached".
const char *nearWaitReasonName(NearWaitReason reason);

} // namespace almondgate::policy

#endif
