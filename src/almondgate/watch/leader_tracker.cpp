#include "almondgate/watch/leader_tracker.hpp"

#include <algorithm>

namespace almondgate::watch {

using core::Address;
using core::TimeMs;

namespace {

// Longer than an election takes. With a shorter value a frozen member would
// delay the call again while the others already follow a new leader.
constexpr core::DurationMs TimeoutPenalty{1000};

} // namespace

LeaderTracker::LeaderTracker(std::vector<Address> members)
    : Members(std::move(members)) {}

Address LeaderTracker::select(TimeMs now) const {
  for (size_t i = 0; i < Members.size(); ++i) {
    const Address &member = Members[(Next + i) % Members.size()];
    const auto timed_out = TimedOutUntil.find(member);
    if (timed_out == TimedOutUntil.end() || now >= timed_out->second)
      return member;
  }
  return Members.empty() ? Address{} : Members[Next % Members.size()];
}

void LeaderTracker::recordNotLeader(const Address &member) {
  const auto it = std::find(Members.begin(), Members.end(), member);
  if (it != Members.end())
    Next = size_t(it - Members.begin() + 1) % Members.size();
}

void LeaderTracker::recordTimeout(const Address &member, TimeMs now) {
  TimedOutUntil[member] = now + TimeoutPenalty;
  if (!Members.empty() && Members[Next % Members.size()] == member)
    recordNotLeader(member);
}

void LeaderTracker::setMembers(std::vector<Address> members) {
  if (members.empty() || members == Members)
    return;
  const Address next =
      Members.empty() ? Address{} : Members[Next % Members.size()];
  Members = std::move(members);
  const auto it = std::find(Members.begin(), Members.end(), next);
  Next = it == Members.end() ? 0 : size_t(it - Members.begin());
  std::erase_if(TimedOutUntil, [&](const auto &row) {
    return std::find(Members.begin(), Members.end(), row.first) ==
           Members.end();
  });
}

} // namespace almondgate::watch
