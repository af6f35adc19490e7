#include "almondgate/control/membership_plan.hpp"

#include <algorithm>

namespace almondgate::control {

using consensus::Member;
using consensus::Membership;

namespace {

const MemberHealth *findHealth(const std::vector<MemberHealth> &known,
                               const consensus::MemberId &id) {
  const auto it =
      std::find_if(known.begin(), known.end(),
                   [&](const MemberHealth &health) { return health.Id == id; });
  return it == known.end() ? nullptr : &*it;
}

// No contact for the timeout suggests that a member is lost. More recent
// contact from another member at its address proves it: the disk has been
// replaced.
bool isLost(const Member &member, const std::vector<MemberHealth> &known,
            core::DurationMs timeout) {
  const auto *health = findHealth(known, member.Id);
  if (!health || health->SinceLastContact >= timeout)
    return true;
  return std::any_of(
      known.begin(), known.end(), [&](const MemberHealth &other) {
        return other.Id != member.Id && other.Inner == member.Inner &&
               other.SinceLastContact < health->SinceLastContact;
      });
}

} // namespace

std::optional<Membership> planMembership(const Membership &current,
                                         const consensus::MemberId &leader,
                                         const std::vector<MemberHealth> &known,
                                         const MembershipRules &rules) {
  for (const auto &health : known)
    if (!findMember(current, health.Id) &&
        health.SinceLastContact < rules.ReplaceAfter)
      return withMember(current, {health.Id, health.Inner, false});
  size_t voters = 0;
  size_t live = 0;
  const Member *lost = nullptr;
  for (const auto &member : current.Members) {
    if (!member.Voter)
      continue;
    ++voters;
    if (member.Id == leader || !isLost(member, known, rules.ReplaceAfter))
      ++live;
    else
      lost = &member;
  }
  if (live < rules.Voters)
    for (const auto &member : current.Members) {
      const auto *health = findHealth(known, member.Id);
      const bool ready = !member.Voter && health && health->CaughtUp &&
                         !isLost(member, known, rules.ReplaceAfter);
      if (ready)
        return withMember(current, {member.Id, member.Inner, true});
    }
  if (lost && voters > rules.Voters)
    return withoutMember(current, lost->Id);
  for (const auto &member : current.Members)
    if (!member.Voter && isLost(member, known, rules.DropLearnerAfter))
      return withoutMember(current, member.Id);
  return std::nullopt;
}

} // namespace almondgate::control
