#ifndef ALMONDGATE_DISPATCH_DISPATCHER_OPTIONS_HPP
#define ALMONDGATE_DISPATCH_DISPATCHER_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"

#include <cstdint>
#include <string>

namespace almondgate::dispatch {

/// Settings of a Dispatcher.
struct DispatcherOptions {
  /// Names the holder of VM orders.
  std::string Holder = "control";
  /// Lease given to an endpoint with each renewal: long enough for a change of
  /// leader (about 1.3 s) after the oldest renewal (1 s).
  core::DurationMs Lease{3000};
  /// Most an endpoint grants, whatever is asked.
  core::DurationMs MaxLease{6000};
  /// How long an endpoint may hold a renewal back for an end to tell.
  core::DurationMs RenewWait{1000};
  core::DurationMs RetryInterval{300};
  /// Events of this time are answered by one pass over all that waits: under
  /// load a pass costs about a millisecond of the leader's processor.
  core::DurationMs PassInterval{10};
  /// Ended jobs are remembered this long.
  core::DurationMs EndedJobRetention{150000};
  /// Two leaders may not order for one VM within this time.
  core::DurationMs VmOrderLease{3000};
  /// How long a VM is gone for its upkeep.
  core::DurationMs MaintenanceDuration{2000};
  core::DurationMs MoveDuration{1500};

  bool operator==(const DispatcherOptions &) const = default;
};

} // namespace almondgate::dispatch

#endif
