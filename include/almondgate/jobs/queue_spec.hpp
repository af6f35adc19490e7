#ifndef ALMONDGATE_JOBS_QUEUE_SPEC_HPP
#define ALMONDGATE_JOBS_QUEUE_SPEC_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::jobs {

/// A queue as the operators configure it.
struct QueueSpec {
  core::QueueId Id;
  /// Callers name the queue by host and path prefix.
  std::string Host;
  std::string PathPrefix;
  core::PoolId Pool;
  /// 0 comes first.
  int64_t Priority = 0;
  int64_t MaxAttempts = 1;
  /// A job is in time within Stretch times its longest chain and TargetMs more.
  double Stretch = 1;
  int64_t TargetMs = 0;
  /// Needs no key.
  bool Open = false;
  /// An outside policy decides which endpoints may run a step.
  bool NeedsTicket = false;
  /// How long a ticket holds, in milliseconds.
  int64_t TicketLifeMs = 0;

  bool operator==(const QueueSpec &) const = default;
};

} // namespace almondgate::jobs

#endif
