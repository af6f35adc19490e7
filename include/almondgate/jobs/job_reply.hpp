#ifndef ALMONDGATE_JOBS_JOB_REPLY_HPP
#define ALMONDGATE_JOBS_JOB_REPLY_HPP

#include "almondgate/jobs/job_state.hpp"

#include <cstdint>
#include <string>

namespace almondgate::jobs {

/// How a caller's request went.
enum class JobOutcome {
  /// Accepted and durable, or cancelled and durable.
  Done,
  /// State holds what was asked for.
  State,
  /// Pending holds what was asked for.
  Count,
  /// Not accepted and never run; worth another try after RetryAfterMs.
  Refused,
  NoQueue,
  UnknownKey,
  NoJob,
  Invalid,
};

/// The answer to a JobCall.
struct JobReply {
  JobOutcome Outcome = JobOutcome::Refused;
  JobState State = JobState::Queued;
  int64_t Pending = 0;
  int64_t RetryAfterMs = 0;
  std::string Text;

  bool operator==(const JobReply &) const = default;
};

} // namespace almondgate::jobs

#endif
