#ifndef ALMONDGATE_JOBS_JOB_STATE_HPP
#define ALMONDGATE_JOBS_JOB_STATE_HPP

namespace almondgate::jobs {

/// State of a job as reported to callers.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// "queued", "running", "completed", "failed" or "cancelled".
const char *jobStateName(JobState state);

} // namespace almondgate::jobs

#endif
