#ifndef ALMONDGATE_JOBS_POOL_SPEC_HPP
#define ALMONDGATE_JOBS_POOL_SPEC_HPP

#include "almondgate/core/id.hpp"

namespace almondgate::jobs {

/// A pool as the operators configure it.
struct PoolSpec {
  core::PoolId Id;
  /// Endpoints refuse what does not fit; others start whatever they are told.
  bool GuardsCapacity = false;
  /// The pool's VMs are switched off and cost nothing.
  bool Spare = false;

  bool operator==(const PoolSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
