#ifndef ALMONDGATE_JOBS_JOB_SPEC_HPP
#define ALMONDGATE_JOBS_JOB_SPEC_HPP

#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::jobs {

/// A job as submitted by a caller.
struct JobSpec {
  /// Passed to every task unchanged.
  std::string Content;
  std::vector<StepSpec> Steps;
  /// Number of occurrences of a scheduled job; 0 for a job without a schedule.
  int64_t Repetitions = 0;
  /// Due time of occurrence 0, in milliseconds since 1970.
  int64_t StartAtMs = 0;
  /// Time between occurrences, in milliseconds.
  int64_t IntervalMs = 0;

  bool operator==(const JobSpec &) const = default;

  int64_t occurrences() const { return Repetitions > 0 ? Repetitions : 1; }
};

} // namespace almondgate::jobs

#endif
