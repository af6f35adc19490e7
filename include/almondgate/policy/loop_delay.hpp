#ifndef ALMONDGATE_POLICY_LOOP_DELAY_HPP
#define ALMONDGATE_POLICY_LOOP_DELAY_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/policy/job_admission.hpp"

#include <deque>
#include <utility>

namespace almondgate::policy {

/// Tracks by how much an event loop is behind: the smallest delay within an
/// interval, so that a single long iteration, such as the encoding of a
/// snapshot, does not count. Source: the standing queue of CoDel, Nichols and
/// Jacobson, ACM Queue 10(5), 2012.
class LoopDelay {
public:
  /// The time over which the smallest delay is taken, and the least number of
  /// records that it is taken of.
  static constexpr core::DurationMs Interval{500};
  static constexpr size_t MinRecords = 3;

  /// Records that something due at `due` was done at `now`.
  void record(core::TimeMs due, core::TimeMs now);

  /// The smallest delay of the last interval; none before a whole interval has
  /// been observed.
  core::DurationMs standing(core::TimeMs now) const;

  void clear();

private:
  core::TimeMs Since{INT64_MAX};
  /// When each delay was recorded.
  std::deque<std::pair<core::TimeMs, core::DurationMs>> Records;
};

/// Refuses a new job while the loop is behind, so that leases, heartbeats and
/// the work accepted before are served in time.
JobAdmissionDecision decideOverload(core::DurationMs standing_delay);

} // namespace almondgate::policy

#endif
