#ifndef ALMONDGATE_CONSENSUS_MEMBERSHIP_HPP
#define ALMONDGATE_CONSENSUS_MEMBERSHIP_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"

#include <vector>

namespace almondgate::consensus {

/// Identifies a control member and the content of its disk: a member with an
/// emptied disk gets a new id.
using MemberId = core::Id<struct MemberTag>;

/// A control member.
struct Member {
  MemberId Id;
  core::Address Inner;
  /// False for a learner, which receives the log but has no vote.
  bool Voter = true;

  bool operator==(const Member &) const = default;
};

/// A request to replace member Old by the member at Inner.
struct MemberReplacement {
  MemberId Old;
  core::Address Inner;

  bool operator==(const MemberReplacement &) const = default;
};

/// The control members as of an index of the log.
struct Membership {
  std::vector<Member> Members;

  bool operator==(const Membership &) const = default;
};

/// Returns the member with this id, or null.
const Member *findMember(const Membership &membership, const MemberId &id);

/// True if a member with this id exists and is a voter.
bool isVoter(const Membership &membership, const MemberId &id);

/// Returns the membership without the member with this id.
Membership withoutMember(const Membership &membership, const MemberId &id);

/// Returns the membership with this member added, or replaced if its id exists.
Membership withMember(const Membership &membership, const Member &member);

/// The number of votes that form a quorum.
size_t quorumSize(const Membership &membership);

/// True if `to` has a voter and differs from `from` by at most one voter. After
/// a larger change, a quorum of `from` and one of `to` could have no member in
/// common.
/// Source: Ongaro, Consensus: Bridging Theory and Practice, 2014, section 4.1.
bool isSingleVoterChange(const Membership &from, const Membership &to);

} // namespace almondgate::consensus

#endif
