#ifndef ALMONDGATE_WATCH_LEADER_TRACKER_HPP
#define ALMONDGATE_WATCH_LEADER_TRACKER_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/time_ms.hpp"

#include <map>
#include <vector>

namespace almondgate::watch {

/// Selects the control member to call while the leader may be unknown.
class LeaderTracker {
public:
  explicit LeaderTracker(std::vector<core::Address> members);

  /// The last known leader, or else the next member without a recent timeout.
  /// If all timed out recently, the last known leader. An address without an
  /// IP if there are no members.
  core::Address select(core::TimeMs now) const;

  /// The member replied that it is not the leader, or its connection failed.
  void recordNotLeader(const core::Address &member);

  /// A call to the member timed out: it may be frozen or partitioned, so the
  /// others are preferred for a while.
  void recordTimeout(const core::Address &member, core::TimeMs now);

  void setMembers(std::vector<core::Address> members);
  const std::vector<core::Address> &members() const { return Members; }

private:
  std::vector<core::Address> Members;
  size_t Next = 0;
  std::map<core::Address, core::TimeMs> TimedOutUntil;
};

} // namespace almondgate::watch

#endif
