#ifndef ALMONDGATE_WATCH_LEADER_TRACKER_HPP
#define ALMONDGATE_WATCH_LEADER_TRACKER_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/time_ms.hpp"

#include <map>
#include <vector>

namespace almondgate::watch {

/// Which control member to ask next, for a caller that may not know the leader.
class LeaderTracker {
public:
  explicit LeaderTracker(std::vector<core::Address> members);

  /// The member that led last, or else the next one that was not silent lately.
  core::Address ask(core::TimeMs now) const;

  /// The member answered that it does not lead, or its connection failed.
  void recordNotLeader(const core::Address &member);

  /// The member let a call time out: it may be frozen or cut off, and the
  /// others are asked before it for a while.
  void recordTimeout(const core::Address &member, core::TimeMs now);

  void setMembers(std::vector<core::Address> members);
  const std::vector<core::Address> &members() const { return Members; }

private:
  std::vector<core::Address> Members;
  size_t Next = 0;
  std::map<core::Address, core::TimeMs> SilentUntil;
};

} // namespace almondgate::watch

#endif
