#ifndef ALMONDGATE_MODEL_WATCH_HPP
#define ALMONDGATE_MODEL_WATCH_HPP

#include "almondgate/model/demand.hpp"
#include "almondgate/model/process_info.hpp"
#include "almondgate/model/update.hpp"

#include <vector>

namespace almondgate::model {

/// A process's request to the control leader for updates. It is also the
/// process's heartbeat and renews a placer's lease on its pools.
struct WatchRequest {
  ProcessInfo From;
  /// The revision that the process has applied; 0 requests a snapshot.
  uint64_t Revision = 0;
  /// True if the process is about to stop: its pools are reassigned.
  bool Stopping = false;
  std::vector<Demand> Demands;
  std::vector<VmStatus> Vms;

  bool operator==(const WatchRequest &) const = default;
};

/// The leader's reply to a WatchRequest.
struct WatchReply {
  /// True if Updates build the view from an empty one.
  bool Snapshot = false;
  uint64_t Revision = 0;
  std::vector<Update> Updates;
  /// Milliseconds since a quorum last confirmed the leader.
  int64_t ConfirmedAgeMs = 0;
  /// The processes whose heartbeats show that they are live.
  std::vector<ProcessInfo> Processes;
  /// Portions that the requesting placer should reduce to their Amount.
  std::vector<Portion> Returns;

  bool operator==(const WatchReply &) const = default;
};

} // namespace almondgate::model

#endif
