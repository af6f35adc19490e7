#ifndef ALMONDGATE_JOBS_EXPLANATION_HPP
#define ALMONDGATE_JOBS_EXPLANATION_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondgate::jobs {

/// Where the waiting tasks of a step would start now.
struct StepExplanation {
  int64_t Step = 0;
  /// Tasks that would start now, by endpoint.
  std::map<EndpointId, int64_t> Starts;
  /// How many of them would be away from the rack of their data; these may
  /// first wait for a nearby place.
  int64_t Remote = 0;
  /// Tasks that would have to wait, and why.
  int64_t Waiting = 0;
  std::string WaitReason;
  /// The number of endpoints of the pool where no task may start, by reason.
  std::map<std::string, int64_t> PassedOver;

  bool operator==(const StepExplanation &) const = default;
};

/// What would become of a job now, as the leader sees its fleet.
struct Explanation {
  core::PoolId Pool;
  /// The answer to a submission, and the reason for it.
  bool Accepted = false;
  int64_t RetryAfterMs = 0;
  std::string Reason;
  /// The steps of its first occurrence.
  std::vector<StepExplanation> Steps;

  bool operator==(const Explanation &) const = default;
};

} // namespace almondgate::jobs

#endif
