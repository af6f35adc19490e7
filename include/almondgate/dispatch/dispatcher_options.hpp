#ifndef ALMONDGATE_DISPATCH_DISPATCHER_OPTIONS_HPP
#define ALMONDGATE_DISPATCH_DISPATCHER_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/memory_plan.hpp"

#include <cstdint>
#include <string>

namespace almondgate::dispatch {

/// Settings of a Dispatcher.
struct DispatcherOptions {
  /// Name of this member as the holder of VM orders.
  std::string Holder = "control";
  /// Lease granted to an endpoint with each renewal. Must outlast the age of
  /// the oldest renewal (1 s) plus a change of leader (about 1.3 s).
  core::DurationMs Lease{3000};
  /// Longest lease that an endpoint accepts, whatever is requested.
  core::DurationMs MaxLease{6000};
  /// How long an endpoint may delay its reply to a renewal while it has no
  /// ended run to report.
  core::DurationMs RenewWait{1000};
  /// Time after which a failed renewal or a stop order that was not
  /// acknowledged is sent again.
  core::DurationMs RetryInterval{300};
  /// Least time between two placement passes; one pass serves all events of
  /// the interval. Under load, a pass takes about 1 ms of the leader's
  /// processor time.
  core::DurationMs PassInterval{10};
  /// How long the ledger keeps ended jobs.
  core::DurationMs EndedJobRetention{150000};
  /// Two leaders must not send orders for one VM within this time.
  core::DurationMs VmOrderLease{3000};
  /// The longest that an endpoint takes to end a run after a stop order.
  core::DurationMs RunStopTimeout{1000};
  /// How long a VM is down for its maintenance.
  core::DurationMs MaintenanceDuration{2000};
  /// How long a VM takes to move to another pool.
  core::DurationMs MoveDuration{1500};
  /// How many times as long a task takes away from the rack of its data, or a
  /// gang on several racks; at least 1.
  double RemoteFactor = 2.0;
  /// Bytes that the jobs in the ledger may take before further ones are
  /// refused.
  size_t JobsLimitBytes = core::planMemory(0).Jobs;

  bool operator==(const DispatcherOptions &) const = default;
};

} // namespace almondgate::dispatch

#endif
