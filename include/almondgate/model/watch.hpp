#ifndef ALMONDGATE_MODEL_WATCH_HPP
#define ALMONDGATE_MODEL_WATCH_HPP

#include "almondgate/model/demand.hpp"
#include "almondgate/model/process_info.hpp"
#include "almondgate/model/update.hpp"

#include <vector>

namespace almondgate::model {

/// A process asks the control leader for what is new. The same message is its
/// heartbeat, and renews a placer's lease on its pools.
struct WatchRequest {
  ProcessInfo From;
  /// The revision that the process has applied; 0 asks for a snapshot.
  uint64_t Revision = 0;
  /// True from a process that is about to stop: its pools go to others.
  bool Stopping = false;
  std::vector<Demand> Demands;
  std::vector<VmStatus> Vms;

  bool operator==(const WatchRequest &) const = default;
};

/// The leader's answer.
struct WatchReply {
  /// True where Updates build the view from an empty one.
  bool Snapshot = false;
  uint64_t Revision = 0;
  std::vector<Update> Updates;
  /// Milliseconds since the moment at which a quorum confirmed the leader.
  int64_t ConfirmedAgeMs = 0;
  /// The live processes, by their heartbeats.
  std::vector<ProcessInfo> Processes;
  /// Portions that the asking placer should return down to their amount.
  std::vector<Portion> Returns;

  bool operator==(const WatchReply &) const = default;
};

} // namespace almondgate::model

#endif
