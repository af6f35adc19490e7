#ifndef ALMONDGATE_CONTROL_MEMBERSHIP_PLAN_HPP
#define ALMONDGATE_CONTROL_MEMBERSHIP_PLAN_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/duration_ms.hpp"

#include <optional>
#include <vector>

namespace almondgate::control {

/// What the leader knows of a member or of a process that wants to be one.
struct MemberHealth {
  consensus::MemberId Id;
  core::Address Inner;
  /// Since it last answered or asked to join.
  core::DurationMs SinceLastContact;
  /// Its log is close to the leader's.
  bool CaughtUp = false;

  bool operator==(const MemberHealth &) const = default;
};

/// Settings of planMembership().
struct MembershipRules {
  /// Voters to keep.
  size_t Voters = 3;
  /// A voter that is silent for this long is replaced.
  core::DurationMs ReplaceAfter{3000};
  /// A learner that is silent for this long is dropped.
  core::DurationMs DropLearnerAfter{8000};

  bool operator==(const MembershipRules &) const = default;
};

/// The next membership, one step away from the present one, or nothing.
/// A new voter is added before a lost one is removed, so that no step lowers
/// the number of disks that hold what was acknowledged.
std::optional<consensus::Membership> planMembership(
    const consensus::Membership &now, const consensus::MemberId &leader,
    const std::vector<MemberHealth> &known, const MembershipRules &rules);

} // namespace almondgate::control

#endif
