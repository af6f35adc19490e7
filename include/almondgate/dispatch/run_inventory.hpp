#ifndef ALMONDGATE_DISPATCH_RUN_INVENTORY_HPP
#define ALMONDGATE_DISPATCH_RUN_INVENTORY_HPP

#include "almondgate/jobs/task_ref.hpp"

#include <string>
#include <vector>

namespace almondgate::dispatch {

/// Request to renew an endpoint's lease and to return its run inventory.
struct RenewRequest {
  /// New end of the lease, in milliseconds of the endpoint's clock; 0 leaves
  /// the lease as it is.
  int64_t DeadlineMs = 0;
  /// Fencing token; see FenceCounter.
  uint64_t Epoch = 0;
  /// Ends up to this EndReport::Number are durable; the endpoint may forget
  /// them. 0 if there are no further ones.
  int64_t LastSeen = 0;
  /// How long the endpoint may wait for a run to end before it answers.
  int64_t WaitMs = 0;

  bool operator==(const RenewRequest &) const = default;
};

/// A run in progress.
struct RunReport {
  jobs::TaskRef Task;
  int64_t Run = 0;
  std::string Checkpoint;
  /// Progress in percent; 100 for a long-running task that is ready.
  int64_t Percent = 0;
  /// Tail latency in milliseconds for a serving task; for other tasks, the
  /// processor time in use in millicores.
  int64_t Usage = 0;

  bool operator==(const RunReport &) const = default;
};

/// Why a run ended. The inner protocol encodes it by number.
enum class RunEnd {
  Done,
  Failed,
  Stopped,
  /// The endpoint's lease expired.
  LeaseExpired,
  /// Another member of the run's gang ended.
  GangBroken,
  /// The other members of the run's gang did not join.
  GangIncomplete,
};

/// A run that has ended.
struct EndReport {
  /// Counts the ends within one incarnation of an endpoint, from 1.
  int64_t Number = 0;
  jobs::TaskRef Task;
  int64_t Run = 0;
  RunEnd How = RunEnd::Done;
  std::string Checkpoint;

  bool operator==(const EndReport &) const = default;
};

/// The runs in progress on an endpoint, and those that ended there after
/// RenewRequest::LastSeen, the earliest first.
struct RunInventory {
  /// The endpoint's clock.
  int64_t ClockMs = 0;
  /// Start of the endpoint's incarnation; 0 if the endpoint did not report it.
  int64_t BornMs = 0;
  std::vector<RunReport> Running;
  std::vector<EndReport> Ended;
  /// More runs have ended than are listed. They are listed once the endpoint is
  /// told that it may forget these.
  bool MoreEnds = false;

  bool operator==(const RunInventory &) const = default;
};

/// The published name of an end, such as "lapsed".
const char *runEndName(RunEnd how);

} // namespace almondgate::dispatch

#endif
