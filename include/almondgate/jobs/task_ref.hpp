#ifndef ALMONDGATE_JOBS_TASK_REF_HPP
#define ALMONDGATE_JOBS_TASK_REF_HPP

#include "almondgate/jobs/ids.hpp"

#include <compare>
#include <cstdint>

namespace almondgate::jobs {

/// Identifies one task of a job.
struct TaskRef {
  JobId Job;
  int64_t Occurrence = 0;
  int64_t Step = 0;
  int64_t Index = 0;

  auto operator<=>(const TaskRef &) const = default;
};

} // namespace almondgate::jobs

#endif
