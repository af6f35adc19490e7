#ifndef ALMONDGATE_JOBS_JOB_SPEC_HPP
#define ALMONDGATE_JOBS_JOB_SPEC_HPP

#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::jobs {

/// What a caller hands in.
struct JobSpec {
  /// Passed to every task as it is.
  std::string Content;
  std::vector<StepSpec> Steps;
  /// How often the steps run; 0 for a job without times.
  int64_t Repetitions = 0;
  /// When occurrence 0 is due, in milliseconds since 1970.
  int64_t StartAtMs = 0;
  /// Time between occurrences, in milliseconds.
  int64_t IntervalMs = 0;

  bool operator==(const JobSpec &) const = default;

  int64_t occurrences() const { return Repetitions > 0 ? Repetitions : 1; }
};

} // namespace almondgate::jobs

#endif
