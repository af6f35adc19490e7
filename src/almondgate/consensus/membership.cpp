#include "almondgate/consensus/membership.hpp"

#include <algorithm>
#include <set>

namespace almondgate::consensus {

namespace {

std::set<MemberId> votersOf(const Membership &membership) {
  std::set<MemberId> out;
  for (const auto &member : membership.Members)
    if (member.Voter)
      out.insert(member.Id);
  return out;
}

size_t missingFrom(const std::set<MemberId> &a, const std::set<MemberId> &b) {
  return std::count_if(a.begin(), a.end(),
                       [&](const MemberId &id) { return !b.contains(id); });
}

} // namespace

const Member *findMember(const Membership &membership, const MemberId &id) {
  const auto it =
      std::find_if(membership.Members.begin(), membership.Members.end(),
                   [&](const Member &m) { return m.Id == id; });
  return it == membership.Members.end() ? nullptr : &*it;
}

bool isVoter(const Membership &membership, const MemberId &id) {
  const auto *member = findMember(membership, id);
  return member && member->Voter;
}

Membership withoutMember(const Membership &membership, const MemberId &id) {
  Membership out = membership;
  std::erase_if(out.Members, [&](const Member &m) { return m.Id == id; });
  return out;
}

Membership withMember(const Membership &membership, const Member &member) {
  Membership out = withoutMember(membership, member.Id);
  out.Members.push_back(member);
  return out;
}

size_t quorumSize(const Membership &membership) {
  return votersOf(membership).size() / 2 + 1;
}

bool isSingleVoterChange(const Membership &from, const Membership &to) {
  const auto before = votersOf(from);
  const auto after = votersOf(to);
  return missingFrom(before, after) + missingFrom(after, before) <= 1 &&
         !after.empty();
}

} // namespace almondgate::consensus
