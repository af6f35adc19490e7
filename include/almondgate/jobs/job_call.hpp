#ifndef ALMONDGATE_JOBS_JOB_CALL_HPP
#define ALMONDGATE_JOBS_JOB_CALL_HPP

#include "almondgate/jobs/job_spec.hpp"

namespace almondgate::jobs {

/// What a caller asks for. A look at a queue itself asks for its count.
enum class JobVerb { Submit, Query, Cancel };

/// A caller's request about a job or a queue.
struct JobCall {
  JobVerb Verb = JobVerb::Query;
  std::string Host;
  /// Prefix of a queue, and after it the job's id.
  std::string Path;
  std::string Key;
  /// Names this call, the same at each of an entry's tries; may be empty.
  std::string Call;
  /// For Submit.
  JobSpec Spec;

  bool operator==(const JobCall &) const = default;
};

} // namespace almondgate::jobs

#endif
