#ifndef ALMONDGATE_JOBS_TASK_PROGRESS_HPP
#define ALMONDGATE_JOBS_TASK_PROGRESS_HPP

#include <cstdint>

namespace almondgate::jobs {

/// What is durable of one task.
struct TaskProgress {
  bool Done = false;
  /// Runs that ended as failed. Kept at the first task of a gang.
  int64_t Failures = 0;
  /// The highest run counted in Failures.
  int64_t LastFailedRun = 0;

  bool operator==(const TaskProgress &) const = default;
};

} // namespace almondgate::jobs

#endif
