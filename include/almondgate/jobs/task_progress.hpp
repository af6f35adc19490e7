#ifndef ALMONDGATE_JOBS_TASK_PROGRESS_HPP
#define ALMONDGATE_JOBS_TASK_PROGRESS_HPP

#include <cstdint>

namespace almondgate::jobs {

/// Durable state of one task.
struct TaskProgress {
  bool Done = false;
  /// Number of failed runs. A gang's failures are counted at its first task.
  int64_t Failures = 0;
  /// The highest run number counted in Failures.
  int64_t LastFailedRun = 0;

  bool operator==(const TaskProgress &) const = default;
};

} // namespace almondgate::jobs

#endif
