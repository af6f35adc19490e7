#ifndef ALMONDGATE_JOBS_JOB_TERMS_HPP
#define ALMONDGATE_JOBS_JOB_TERMS_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::jobs {

struct QueueSpec;

/// What a job was accepted with. An open job keeps its terms when its queue is
/// changed or removed.
struct JobTerms {
  /// Where the job's tasks run; empty while it is not known.
  core::PoolId Pool;
  /// Runs may also be in progress in another pool: the pool was removed from
  /// the configuration and replaced by that of the queue, or it was not
  /// recorded when the job was accepted.
  bool PoolReplaced = false;
  /// MaxAttempts to TicketLifeMs are as in QueueSpec.
  int64_t MaxAttempts = 1;
  double Stretch = 1;
  int64_t TargetMs = 0;
  bool NeedsTicket = false;
  int64_t TicketLifeMs = 0;

  bool operator==(const JobTerms &) const = default;
};

/// The terms of jobs that are accepted on a queue.
JobTerms termsOf(const QueueSpec &queue);

} // namespace almondgate::jobs

#endif
