#ifndef ALMONDGATE_DISPATCH_STEP_TASKS_HPP
#define ALMONDGATE_DISPATCH_STEP_TASKS_HPP

#include <cstddef>
#include <cstdint>

namespace almondgate::dispatch {

/// Counts of the tasks of one occurrence of a step.
struct StepTasks {
  /// Index of its first task in OpenJob::Tasks.
  size_t First = 0;
  /// Number of tasks in TaskPhase::Waiting.
  int64_t Waiting = 0;
  /// Number of tasks that occupy capacity, see TaskState::isPlaced().
  int64_t Placed = 0;
  /// All steps that it depends on are done.
  bool Ready = false;

  bool operator==(const StepTasks &) const = default;
};

} // namespace almondgate::dispatch

#endif
