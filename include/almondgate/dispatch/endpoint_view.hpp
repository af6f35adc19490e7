#ifndef ALMONDGATE_DISPATCH_ENDPOINT_VIEW_HPP
#define ALMONDGATE_DISPATCH_ENDPOINT_VIEW_HPP

#include "almondgate/dispatch/lease_clock.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"
#include "almondgate/jobs/task_ref.hpp"

#include <map>
#include <set>
#include <utility>

namespace almondgate::dispatch {

/// A run that is to end although no job asks for it.
struct OrphanedRun {
  core::Size Need;
  core::TeamId Team;
  core::TimeMs StopSent{INT64_MIN / 2};
  bool Listed = true;

  bool operator==(const OrphanedRun &) const = default;
};

/// What the leader believes of one endpoint.
struct EndpointView {
  using TaskKey = std::pair<jobs::JobId, size_t>;
  using RunKey = std::pair<jobs::TaskRef, int64_t>;

  jobs::EndpointFacts Facts;
  LeaseClock Lease;
  /// Its inventory has been read in this epoch.
  bool InventoryRead = false;
  /// The last call to it failed.
  bool Suspect = false;
  bool Renewing = false;
  core::TimeMs RenewDue{INT64_MIN / 2};
  /// Takes no start before this time.
  core::TimeMs BackOffUntil{INT64_MIN / 2};
  int64_t LastDurableEnd = 0;
  int64_t LastReadEnd = 0;
  int64_t HeartbeatSequence = -1;
  /// Failures in a row without a task done.
  int64_t FailuresInRow = 0;
  /// Being emptied for its upkeep or a move.
  bool Reserved = false;
  /// An order that ends all that runs there is about to be given.
  bool TerminationPending = false;
  bool DeclaredLost = false;
  core::Size Used;
  std::set<TaskKey> Runs;
  /// The part of Runs and of Used that is long-running.
  int64_t LongRunningCount = 0;
  int64_t LongRunningMilliCpus = 0;
  /// Stops that got no answer, to be sent again.
  std::set<TaskKey> StopRetries;
  std::map<RunKey, OrphanedRun> OrphanedRuns;
  /// Runs given up with the endpoint whose orders may still be carried out, and
  /// when each was last barred by a stop. It gets no lease before all are.
  std::map<RunKey, core::TimeMs> UnresolvedStarts;

  /// Work of an earlier leader may run there unseen.
  bool isUnread() const { return !InventoryRead && !Facts.Idle; }

  /// It counts as room of its pool.
  bool isServing() const {
    return InventoryRead && !Suspect && !Facts.Draining && !Facts.Idle &&
           !Reserved;
  }
};

} // namespace almondgate::dispatch

#endif
