#ifndef ALMONDGATE_JOBS_STEP_SPEC_HPP
#define ALMONDGATE_JOBS_STEP_SPEC_HPP

#include "almondgate/core/size.hpp"
#include "almondgate/jobs/ids.hpp"

#include <string>
#include <vector>

namespace almondgate::jobs {

/// Equal tasks of a job that may start at the same time.
struct StepSpec {
  int64_t Count = 1;
  /// What one task takes; the slots are not used.
  core::Size Need;
  /// The submitter's rough guess of a task's run time, in milliseconds.
  int64_t EstimateMs = 0;
  /// Steps, counted from 0, whose tasks must all be done first.
  std::vector<int64_t> After;
  bool Checkpointing = false;
  /// The tasks only work together, and end together.
  bool Gang = false;
  /// The tasks are slower when they are spread over several racks.
  bool SameRack = false;
  /// A label that the endpoint must have; empty for any.
  std::string Label;
  /// The rack near the data; empty for any.
  core::RackId Affinity;
  /// Most tasks of the step on one endpoint; 0 for no bound.
  int64_t AntiAffinity = 0;
  bool AllowDuplicates = false;
  /// The tasks run until the job is cancelled.
  bool LongRunning = false;
  ImageId Image;
  /// The tail of response times that a serving task keeps to, in
  /// milliseconds; 0 for tasks that serve nobody.
  int64_t TargetMs = 0;
  /// The tasks only use processor time that others leave.
  bool Fills = false;
  /// Tasks of the step that may be away at once by the system's own doing.
  int64_t MayMiss = 0;
  bool HasMayMiss = false;

  bool operator==(const StepSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
