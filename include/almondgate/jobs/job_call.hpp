#ifndef ALMONDGATE_JOBS_JOB_CALL_HPP
#define ALMONDGATE_JOBS_JOB_CALL_HPP

#include "almondgate/jobs/job_spec.hpp"

namespace almondgate::jobs {

/// Operation requested by a caller. Query without a job id returns the number
/// of pending jobs of the queue.
enum class JobVerb { Submit, Query, Cancel };

/// A caller's request concerning a job or a queue.
struct JobCall {
  JobVerb Verb = JobVerb::Query;
  std::string Host;
  /// Path prefix of a queue, followed by the job id.
  std::string Path;
  std::string Key;
  /// Id of this call; an entry's retries reuse it. May be empty.
  std::string Call;
  /// Only used with Submit.
  JobSpec Spec;
  /// Why the caller's job could not be read; empty if Spec holds it. The call
  /// is made all the same, so that callers without a queue or a key learn that
  /// first.
  std::string SpecError;

  bool operator==(const JobCall &) const = default;
};

} // namespace almondgate::jobs

#endif
