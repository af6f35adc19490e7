#ifndef ALMONDGATE_JOBS_JOB_REPLY_HPP
#define ALMONDGATE_JOBS_JOB_REPLY_HPP

#include "almondgate/jobs/job_state.hpp"

#include <cstdint>
#include <string>

namespace almondgate::jobs {

/// Outcome of a caller's request.
enum class JobOutcome {
  /// The acceptance or cancellation is durable.
  Done,
  /// JobReply::State holds the answer.
  State,
  /// JobReply::Pending holds the answer.
  Count,
  /// Not accepted and never run; the caller may retry after RetryAfterMs.
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
