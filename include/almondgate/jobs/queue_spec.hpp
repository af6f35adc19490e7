#ifndef ALMONDGATE_JOBS_QUEUE_SPEC_HPP
#define ALMONDGATE_JOBS_QUEUE_SPEC_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::jobs {

/// A queue as configured by operators.
struct QueueSpec {
  core::QueueId Id;
  /// Callers address the queue by host and path prefix.
  std::string Host;
  std::string PathPrefix;
  core::PoolId Pool;
  /// 0 is the highest priority.
  int64_t Priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int64_t MaxAttempts = 1;
  /// A job meets its objective if it takes at most Stretch times the run time
  /// of its longest chain of steps, plus TargetMs.
  double Stretch = 1;
  int64_t TargetMs = 0;
  /// Accepts calls without an API key.
  bool Open = false;
  /// An external policy decides which endpoints may run a step.
  bool NeedsTicket = false;
  /// Validity of a ticket, in milliseconds.
  int64_t TicketLifeMs = 0;

  bool operator==(const QueueSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
