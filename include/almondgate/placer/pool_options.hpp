#ifndef ALMONDGATE_PLACER_POOL_OPTIONS_HPP
#define ALMONDGATE_PLACER_POOL_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/policy/fair_share.hpp"
#include "almondgate/policy/urgent_headroom.hpp"
#include "almondgate/policy/vm_choice.hpp"

#include <cstddef>

namespace almondgate::placer {

/// Settings of a PoolScheduler, and the choices that may vary.
struct PoolOptions {
  /// An endpoint that has not announced itself for longer gets no work.
  core::DurationMs MaxReportAge{4000};
  /// How long a grant that was given back may still be in an endpoint's report.
  core::DurationMs ReleaseRetention{5000};
  core::DurationMs InitialEjection{2000};
  core::DurationMs MaxEjection{30000};
  /// A request that has waited longer is no longer passed by later ones.
  core::DurationMs MaxOvertakenWait{5000};
  /// Later requests of a team that are tried when its first does not fit.
  size_t LookAheadLimit = 8;
  policy::VmChoice ChooseVm = policy::leastLoaded;
  policy::TeamOrder OrderTeams = policy::teamOrder;
  policy::HeadroomPolicy ComputeHeadroom = policy::adaptiveHeadroom;
};

} // namespace almondgate::placer

#endif
