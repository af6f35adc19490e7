#ifndef ALMONDGATE_DISPATCH_OPEN_JOB_HPP
#define ALMONDGATE_DISPATCH_OPEN_JOB_HPP

#include "almondgate/dispatch/advice.hpp"
#include "almondgate/dispatch/task_state.hpp"
#include "almondgate/jobs/job_record.hpp"

#include <map>
#include <vector>

namespace almondgate::dispatch {

/// Leave for one step's occurrence.
struct StepTickets {
  bool Requested = false;
  core::TimeMs ValidUntil{INT64_MIN / 2};
  std::map<jobs::EndpointId, std::string> Tickets;

  bool operator==(const StepTickets &) const = default;
};

/// A job that has work to do, or runs left to end.
struct OpenJob {
  /// Kept by the ledger at least as long as the job is open.
  const jobs::JobRecord *Record = nullptr;
  core::PoolId Pool;
  /// When its caller first sent it.
  core::TimeMs SentAt;
  /// Until then the job is in time, by the submitter's estimates.
  core::TimeMs Due;
  bool Started = false;
  /// Accepted under an earlier leader: its tasks may run unseen.
  bool Inherited = false;
  std::vector<TaskState> Tasks;
  int64_t Placed = 0;
  std::map<std::pair<int64_t, int64_t>, StepTickets> Tickets;

  bool operator==(const OpenJob &) const = default;
};

} // namespace almondgate::dispatch

#endif
