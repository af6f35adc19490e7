#ifndef ALMONDGATE_DISPATCH_TASK_STATE_HPP
#define ALMONDGATE_DISPATCH_TASK_STATE_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <string>

namespace almondgate::dispatch {

/// Where a task stands between its durable facts.
enum class TaskPhase {
  Waiting,
  /// Ordered; no answer yet.
  Ordered,
  /// The order got no answer: it may be carried out now, later or never.
  Unanswered,
  Running,
  Stopping,
  /// Its end is being made durable.
  Ending,
  Done,
};

/// What the leader believes of one task.
struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  /// Where it runs or may run; empty while it waits.
  jobs::EndpointId Endpoint;
  /// The highest run ordered so far.
  int64_t Run = 0;
  std::string Checkpoint;
  int64_t Percent = 0;
  int64_t Usage = 0;
  /// When the phase began.
  core::TimeMs Since;
  /// Not started again before this time.
  core::TimeMs NotBefore{INT64_MIN / 2};
  /// The endpoint acknowledged the stop.
  bool StopAcknowledged = false;
  /// The start got no answer, and has been sent once more.
  bool StartResent = false;

  bool operator==(const TaskState &) const = default;

  /// The order to start has no answer, nor has a stop that would bar it.
  bool mayStillStart() const {
    return Phase == TaskPhase::Ordered || Phase == TaskPhase::Unanswered ||
           (Phase == TaskPhase::Stopping && !StopAcknowledged);
  }

  /// It takes room on an endpoint.
  bool isPlaced() const {
    return Phase == TaskPhase::Ordered || Phase == TaskPhase::Unanswered ||
           Phase == TaskPhase::Running || Phase == TaskPhase::Stopping;
  }
};

/// The name of a phase, such as "running".
const char *phaseName(TaskPhase phase);

} // namespace almondgate::dispatch

#endif
