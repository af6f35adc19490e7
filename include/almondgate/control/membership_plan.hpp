#ifndef ALMONDGATE_CONTROL_MEMBERSHIP_PLAN_HPP
#define ALMONDGATE_CONTROL_MEMBERSHIP_PLAN_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/duration_ms.hpp"

#include <optional>
#include <vector>

namespace almondgate::control {

/// The leader's view of a member, or of a process that requests to join.
struct MemberHealth {
  consensus::MemberId Id;
  core::Address Inner;
  /// Time since it last answered or requested to join.
  core::DurationMs SinceLastContact;
  /// True if its log is close to the leader's commit index.
  bool CaughtUp = false;

  bool operator==(const MemberHealth &) const = default;
};

/// Settings of planMembership().
struct MembershipRules {
  /// Number of voters to maintain.
  size_t Voters = 3;
  /// A voter without contact for this long is replaced.
  core::DurationMs ReplaceAfter{3000};
  /// A learner without contact for this long is removed.
  core::DurationMs DropLearnerAfter{8000};

  bool operator==(const MembershipRules &) const = default;
};

/// Plans the next membership, one change away from `current`; nothing if no
/// change is needed. A new voter is added before a lost one is removed, so that
/// no step reduces the number of disks that hold acknowledged entries.
std::optional<consensus::Membership> planMembership(
    const consensus::Membership &current, const consensus::MemberId &leader,
    const std::vector<MemberHealth> &known, const MembershipRules &rules);

} // namespace almondgate::control

#endif
