#ifndef ALMONDGATE_JOBS_STEP_SPEC_HPP
#define ALMONDGATE_JOBS_STEP_SPEC_HPP

#include "almondgate/core/size.hpp"
#include "almondgate/jobs/ids.hpp"

#include <string>
#include <vector>

namespace almondgate::jobs {

/// Identical tasks of a job that may run in parallel.
struct StepSpec {
  int64_t Count = 1;
  /// Resources of one task; Slots is ignored.
  core::Size Need;
  /// The submitter's rough estimate of a task's run time, in milliseconds.
  int64_t EstimateMs = 0;
  /// Steps, counted from 0, that must be done before this one starts.
  std::vector<int64_t> After;
  bool Checkpointing = false;
  /// The tasks must run at the same time and end together.
  bool Gang = false;
  /// The tasks run slower when spread over several racks.
  bool SameRack = false;
  /// Label required of the endpoint; empty for any endpoint.
  std::string Label;
  /// Preferred rack, near the data; empty for no preference.
  core::RackId Affinity;
  /// Maximum number of the step's tasks on one endpoint; 0 for no limit.
  int64_t AntiAffinity = 0;
  bool AllowDuplicates = false;
  /// The tasks run until the job is cancelled.
  bool LongRunning = false;
  ImageId Image;
  /// Target for the tail latency of a serving task, in milliseconds; 0 for
  /// tasks that serve no requests.
  int64_t TargetMs = 0;
  /// The tasks only use processor time that other tasks leave idle.
  bool Fills = false;
  /// Availability budget: number of the step's tasks that the system itself
  /// may keep down at the same time.
  int64_t MayMiss = 0;
  /// Whether MayMiss was given; without it the step has no availability budget.
  bool HasMayMiss = false;

  bool operator==(const StepSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
