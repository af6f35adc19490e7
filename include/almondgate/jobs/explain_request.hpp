#ifndef ALMONDGATE_JOBS_EXPLAIN_REQUEST_HPP
#define ALMONDGATE_JOBS_EXPLAIN_REQUEST_HPP

#include "almondgate/jobs/job_spec.hpp"

namespace almondgate::jobs {

/// Asks where a job would run now: an open one, or one that is not submitted.
struct ExplainRequest {
  /// An open job; empty for one that is not submitted, which the other members
  /// describe.
  JobId Job;
  core::QueueId Queue;
  /// May be empty for a queue that is open to all.
  core::TeamId Team;
  JobSpec Spec;

  bool operator==(const ExplainRequest &) const = default;
};

} // namespace almondgate::jobs

#endif
