#ifndef ALMONDGATE_DISPATCH_ENDPOINT_VIEW_HPP
#define ALMONDGATE_DISPATCH_ENDPOINT_VIEW_HPP

#include "almondgate/dispatch/expected_run.hpp"
#include "almondgate/dispatch/late_start.hpp"
#include "almondgate/dispatch/lease_clock.hpp"
#include "almondgate/dispatch/pool_share.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"
#include "almondgate/jobs/task_ref.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace almondgate::dispatch {

/// A run that no job needs and that is to be stopped.
struct OrphanedRun {
  core::Size Need;
  core::TeamId Team;
  core::TimeMs StopSent{INT64_MIN / 2};
  /// The latest inventory lists the run.
  bool Listed = true;
  /// The endpoint has reported its end.
  bool Ended = false;
  /// As TaskState::MissingSince.
  std::optional<core::TimeMs> MissingSince;

  bool operator==(const OrphanedRun &) const = default;
};

/// The leader's view of one endpoint.
struct EndpointView {
  /// A job and the index of a task in JobRecord::Tasks.
  using TaskKey = std::pair<jobs::JobId, size_t>;
  /// A task and the number of its run.
  using RunKey = std::pair<jobs::TaskRef, int64_t>;

  /// Longer than an order waits for its answer once it has been sent.
  static constexpr core::DurationMs MaxOrderTime{600};
  /// Longer than a renewal or a start takes to connect and waits for its
  /// answer.
  static constexpr core::DurationMs MaxLeaseCallTime{2000};

  jobs::EndpointFacts Facts;
  /// Fencing token of the orders to this incarnation; see FenceCounter.
  uint64_t Fence = 0;
  /// A start order was given with this token.
  bool FenceUsed = false;
  /// The incarnation that answered instead of this one and has not registered;
  /// 0 if none did.
  int64_t SuccessorBornMs = 0;
  LeaseClock Lease;
  /// The inventory of the endpoint has been read in this epoch, with all its
  /// ends.
  bool InventoryRead = false;
  /// Runs that an earlier leader started may be in progress there: the endpoint
  /// was known when this leader began, and none of its incarnations has been
  /// read since.
  bool MayHoldEarlierRuns = false;
  /// The endpoint's clock in the first inventory read in this epoch, complete
  /// or not, and in the newest one.
  std::optional<int64_t> FirstReadClockMs;
  int64_t LastReadClockMs = 0;
  /// When the newest renewal that was answered with a complete inventory was
  /// sent, and its fencing token.
  core::TimeMs LastCompleteRead{INT64_MIN / 2};
  uint64_t CompleteReadFence = 0;
  /// When a call that extends the lease was last given, answered or given up.
  core::TimeMs LastLeaseCall{INT64_MIN / 2};
  /// When the last call that extends the lease has been given up at the latest.
  core::TimeMs LeaseCallsEnd{INT64_MIN / 2};
  /// When a call that extends the lease was last given up without an answer, at
  /// the latest, and the highest fencing token of these calls.
  core::TimeMs LastUnansweredCall{INT64_MIN / 2};
  uint64_t UnansweredFence = 0;
  /// When the newest heartbeat of this incarnation, or of one that has not
  /// registered yet, arrived.
  core::TimeMs LastHeard{INT64_MIN / 2};
  /// When it last left a start unanswered.
  core::TimeMs LastUnanswered{INT64_MIN / 2};
  /// The last request to the endpoint failed.
  bool Suspect = false;
  /// A renewal is outstanding, and one that extends the lease.
  bool Renewing = false;
  bool RenewingLease = false;
  core::TimeMs RenewDue{INT64_MIN / 2};
  /// Runs that its latest inventory lacks may be in progress until this time.
  core::TimeMs MissingUntil{INT64_MIN / 2};
  /// The next renewal is sent at RenewDue because there is no room for one that
  /// waits.
  bool Polled = false;
  /// No starts are sent to the endpoint before this time.
  core::TimeMs BackOffUntil{INT64_MIN / 2};
  /// Number of the last end report that is durable.
  int64_t LastDurableEnd = 0;
  /// Number of the last end report that the endpoint was told to forget, in a
  /// renewal that it answered.
  int64_t AcknowledgedEnd = 0;
  /// Number of the last end report that was read.
  int64_t LastReadEnd = 0;
  int64_t HeartbeatSequence = -1;
  /// Failed runs and unanswered starts since the last run that succeeded.
  int64_t FailuresInRow = 0;
  /// No new work is placed on the VM: it is being drained for maintenance or a
  /// move.
  bool Reserved = false;
  /// An order that ends all runs of the endpoint is about to be sent, or may
  /// still be carried out.
  bool TerminationPending = false;
  /// It shuts down, and may go on until it knows that this was acknowledged.
  /// Its lease is not renewed any more.
  bool HasLeft = false;
  /// The loss of the endpoint (EndpointIdled) was recorded, durable or not.
  bool DeclaredLost = false;
  /// It has just started and is still slow, and the part of its processor time
  /// that short tasks may use; see ColdEndpoints.
  bool Cold = false;
  int64_t CapacityPercent = 100;
  /// Capacity that its runs occupy, orphaned ones included.
  core::Size Used;
  std::set<TaskKey> Runs;
  /// The runs that are expected to end, see RackForecast; empty if Runs has
  /// changed since they were listed.
  std::optional<std::vector<ExpectedRun>> ExpectedRuns;
  /// The share of long-running tasks in Runs and in Used.
  int64_t LongRunningCount = 0;
  int64_t LongRunningMilliCpus = 0;
  /// Tasks whose stop order failed or got no answer and is to be sent again.
  std::set<TaskKey> StopRetries;
  std::map<RunKey, OrphanedRun> OrphanedRuns;
  /// Runs that were abandoned when the endpoint was declared lost and whose
  /// start orders may still be carried out, with the time of the last stop
  /// order sent for each. The endpoint gets no lease until all stops are
  /// acknowledged.
  std::map<RunKey, core::TimeMs> UnresolvedStarts;

  /// What EndpointPools counts for it now.
  PoolShare Share;

  /// The endpoint may have runs that an earlier leader started and that are not
  /// known here.
  bool isUnread() const {
    return MayHoldEarlierRuns && !InventoryRead && !Facts.Idle;
  }

  /// A heartbeat of the incarnation with this birth and sequence number was
  /// sent after all that have been heard.
  bool isNewer(int64_t born_ms, int64_t sequence) const {
    return born_ms > Facts.BornMs ||
           (born_ms == Facts.BornMs && sequence > HeartbeatSequence);
  }

  /// A call that extends the lease is given now.
  void recordLeaseCall(core::TimeMs now) {
    LastLeaseCall = now;
    LeaseCallsEnd = now + MaxLeaseCallTime;
  }

  /// Such a call ended, or ends, without an answer.
  void recordUnansweredCall(core::TimeMs ended, uint64_t fence) {
    LastUnansweredCall = std::max(LastUnansweredCall, ended);
    UnansweredFence = std::max(UnansweredFence, fence);
  }

  /// When the last call that extends the lease is carried out at the latest.
  /// Unanswered ones count for MaxExecutionDelay longer, unless a read of this
  /// incarnation with a higher token has ruled them out.
  core::TimeMs lastLeaseCallExecution() const {
    const bool settled = !Suspect && LastCompleteRead > LastUnansweredCall &&
                         CompleteReadFence > UnansweredFence;
    return settled ? LastLeaseCall
                   : std::max(LastLeaseCall, LastUnansweredCall +
                                                 LateStart::MaxExecutionDelay);
  }

  bool hasRuns() const { return !Runs.empty() || !OrphanedRuns.empty(); }

  /// The endpoint counts towards the capacity of its pool.
  bool isServing() const {
    return InventoryRead && !Suspect && !Facts.Draining && !Facts.Idle &&
           !Reserved;
  }
};

} // namespace almondgate::dispatch

#endif
