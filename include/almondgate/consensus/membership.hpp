#ifndef ALMONDGATE_CONSENSUS_MEMBERSHIP_HPP
#define ALMONDGATE_CONSENSUS_MEMBERSHIP_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"

#include <vector>

namespace almondgate::consensus {

/// One life of a control member's disk: an emptied disk gets a new id.
using MemberId = core::Id<struct MemberTag>;

/// A control member.
struct Member {
  MemberId Id;
  core::Address Inner;
  /// False for a learner, which follows the log and has no vote.
  bool Voter = true;

  bool operator==(const Member &) const = default;
};

/// Asks that the member at Inner takes the place of Old.
struct MemberReplacement {
  MemberId Old;
  core::Address Inner;

  bool operator==(const MemberReplacement &) const = default;
};

/// The control members at some point of the log.
struct Membership {
  std::vector<Member> Members;

  bool operator==(const Membership &) const = default;
};

/// The member with this id, or null.
const Member *findMember(const Membership &membership, const MemberId &id);

/// Tells whether the member exists and votes.
bool isVoter(const Membership &membership, const MemberId &id);

/// The same members but the one with this id.
Membership withoutMember(const Membership &membership, const MemberId &id);

/// The same members and this one, in place of any with its id.
Membership withMember(const Membership &membership, const Member &member);

/// How many votes make a quorum.
size_t quorumSize(const Membership &membership);

/// Tells whether `to` differs from `from` by at most one voter. Errors of a
/// step larger than that would let two quorums miss each other.
/// Source: Ongaro, Consensus: Bridging Theory and Practice, 2014, section 4.1.
bool isSingleVoterChange(const Membership &from, const Membership &to);

} // namespace almondgate::consensus

#endif
