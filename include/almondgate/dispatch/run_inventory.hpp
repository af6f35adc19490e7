#ifndef ALMONDGATE_DISPATCH_RUN_INVENTORY_HPP
#define ALMONDGATE_DISPATCH_RUN_INVENTORY_HPP

#include "almondgate/jobs/task_ref.hpp"

#include <string>
#include <vector>

namespace almondgate::dispatch {

/// Renews an endpoint's lease and asks what it runs.
struct RenewRequest {
  /// By the endpoint's clock; 0 leaves the lease as it is.
  int64_t DeadlineMs = 0;
  uint64_t Epoch = 0;
  /// Ends up to this number are durable and may be forgotten.
  int64_t LastSeen = 0;
  /// How long the endpoint may wait for an end before it answers.
  int64_t WaitMs = 0;

  bool operator==(const RenewRequest &) const = default;
};

/// A run that is at work.
struct RunReport {
  jobs::TaskRef Task;
  int64_t Run = 0;
  std::string Checkpoint;
  /// Work done so far; for a long-running task, 100 once it is at work.
  int64_t Percent = 0;
  /// Tail of response times in ms for a serving task, else the processor time
  /// in use in thousandths of a core.
  int64_t Usage = 0;

  bool operator==(const RunReport &) const = default;
};

/// Why a run ended.
enum class RunEnd {
  Done,
  Failed,
  Stopped,
  /// The endpoint's lease ran out.
  LeaseExpired,
  /// Another member of its gang ended.
  GangBroken,
  /// The other members of its gang did not come.
  GangIncomplete,
};

/// A run that ended.
struct EndReport {
  /// Counts the ends of one life of an endpoint, from 1.
  int64_t Number = 0;
  jobs::TaskRef Task;
  int64_t Run = 0;
  RunEnd How = RunEnd::Done;
  std::string Checkpoint;

  bool operator==(const EndReport &) const = default;
};

/// What an endpoint runs, and what ended there since the last look.
struct RunInventory {
  int64_t ClockMs = 0;
  /// 0 where the endpoint did not tell it.
  int64_t BornMs = 0;
  std::vector<RunReport> Running;
  std::vector<EndReport> Ended;

  bool operator==(const RunInventory &) const = default;
};

/// The name of an end, such as "lapsed".
const char *runEndName(RunEnd how);

} // namespace almondgate::dispatch

#endif
