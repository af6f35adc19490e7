#ifndef ALMONDGATE_PLACER_POOL_OPTIONS_HPP
#define ALMONDGATE_PLACER_POOL_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/policy/fair_share.hpp"
#include "almondgate/policy/urgent_headroom.hpp"
#include "almondgate/policy/vm_choice.hpp"

#include <cstddef>

namespace almondgate::placer {

/// Settings of a PoolScheduler and its replaceable policies.
struct PoolOptions {
  /// Maximum age of an endpoint's last report for it to receive work.
  core::DurationMs MaxReportAge{4000};
  /// How long a released request may still appear in an endpoint's report
  /// without counting as an orphan.
  core::DurationMs ReleaseRetention{5000};
  /// Time from the ejection of a VM to its first probe; it doubles with each
  /// failed probe, up to MaxEjection.
  core::DurationMs InitialEjection{2000};
  core::DurationMs MaxEjection{30000};
  /// A request that has waited longer is not overtaken by later ones of its
  /// queue.
  core::DurationMs MaxOvertakenWait{5000};
  /// Maximum number of requests at the head of a team's queue that are tried,
  /// the first included, until one fits.
  size_t LookAheadLimit = 8;
  policy::VmChoice ChooseVm = policy::leastLoaded;
  policy::TeamOrder OrderTeams = policy::teamOrder;
  policy::HeadroomPolicy ComputeHeadroom = policy::adaptiveHeadroom;
};

} // namespace almondgate::placer

#endif
