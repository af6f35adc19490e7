#ifndef ALMONDGATE_DISPATCH_TASK_STATE_HPP
#define ALMONDGATE_DISPATCH_TASK_STATE_HPP

#include "almondgate/dispatch/late_start.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// Progress of a task between the transitions that the ledger records.
enum class TaskPhase {
  Waiting,
  /// The start order was sent and has no answer yet.
  Ordered,
  /// The start order got no answer: it may be carried out now, later or never.
  Unanswered,
  Running,
  /// A stop order was sent.
  Stopping,
  /// The end of the task is being made durable.
  Ending,
  Done,
};

/// The leader's view of one task.
struct TaskState {
  /// Changed by JobLoads::setPhase() only.
  TaskPhase Phase = TaskPhase::Waiting;
  /// The endpoint where it runs or may run; empty while it waits.
  jobs::EndpointId Endpoint;
  /// The highest run number ordered or reported so far.
  int64_t Run = 0;
  std::string Checkpoint;
  /// Percent and Usage are as in RunReport.
  int64_t Percent = 0;
  int64_t Usage = 0;
  /// Fencing token of the last start order.
  uint64_t Fence = 0;
  /// When the phase began or, within it, an order was last sent or
  /// acknowledged.
  core::TimeMs Since;
  /// Earliest time of the next start.
  core::TimeMs NotBefore{INT64_MIN / 2};
  /// The endpoint acknowledged the stop.
  bool StopAcknowledged = false;
  /// An earlier leader started the run.
  bool Inherited = false;
  /// The answer to its start came with a clock that can be that of the
  /// endpoint's incarnation. The next one's may be up to
  /// LeaseClock::LowerTolerance behind it.
  bool Confirmed = false;
  /// An inventory, which names the incarnation, has listed the run.
  bool Listed = false;
  /// It was started away from the rack of its data, or its gang on several
  /// racks; not known of runs that an earlier leader started.
  bool Remote = false;
  /// Number of the last inventory that listed the current run; see
  /// Dispatcher::Inventories.
  uint64_t ListedIn = 0;
  /// When the first of the latest inventories was requested that list the run
  /// neither as running nor as ended; they all list it if empty.
  std::optional<core::TimeMs> MissingSince;
  /// The start got no answer and was sent a second time, after a read of the
  /// endpoint had ruled the first one out.
  bool StartResent = false;
  /// Starts of this run and of earlier ones that may still be carried out.
  std::vector<LateStart> LateStarts;

  /// Index of its step in OpenJob::Steps.
  size_t Step = 0;

  bool operator==(const TaskState &) const = default;

  /// The start order may still be carried out: neither it nor a stop, which
  /// would make the endpoint reject it, has been answered.
  bool mayStillStart() const {
    return Phase == TaskPhase::Ordered || Phase == TaskPhase::Unanswered ||
           (Phase == TaskPhase::Stopping && !StopAcknowledged);
  }

  /// The run may be in progress in the endpoint's next incarnation, or start
  /// there: orders name the endpoint only by its id.
  bool mayRunInNextIncarnation() const { return isPlaced() && !Listed; }

  /// The task occupies capacity of an endpoint.
  bool isPlaced() const {
    return Phase == TaskPhase::Ordered || Phase == TaskPhase::Unanswered ||
           Phase == TaskPhase::Running || Phase == TaskPhase::Stopping;
  }
};

/// Returns the name of a phase, such as "running".
const char *phaseName(TaskPhase phase);

} // namespace almondgate::dispatch

#endif
