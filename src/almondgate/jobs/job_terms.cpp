#include "almondgate/jobs/job_terms.hpp"
#include "almondgate/jobs/queue_spec.hpp"

#include <algorithm>

namespace almondgate::jobs {

JobTerms termsOf(const QueueSpec &queue) {
  JobTerms terms;
  terms.Pool = queue.Pool;
  terms.MaxAttempts = std::max<int64_t>(queue.MaxAttempts, 1);
  terms.Stretch = queue.Stretch;
  terms.TargetMs = queue.TargetMs;
  terms.NeedsTicket = queue.NeedsTicket;
  terms.TicketLifeMs = queue.TicketLifeMs;
  return terms;
}

} // namespace almondgate::jobs
