#ifndef ALMONDGATE_JOBS_HEARTBEAT_BATCH_HPP
#define ALMONDGATE_JOBS_HEARTBEAT_BATCH_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/error.hpp"
#include "almondgate/jobs/endpoint_heartbeat.hpp"

#include <vector>

namespace almondgate::jobs {

/// Heartbeats that a control member forwards to the leader in one call.
struct HeartbeatBatch {
  std::vector<EndpointHeartbeat> Heartbeats;

  bool operator==(const HeartbeatBatch &) const = default;
};

/// What became of one heartbeat of a batch.
struct HeartbeatResult {
  bool Accepted = false;
  /// Why it was not accepted.
  core::Error Error;

  bool operator==(const HeartbeatResult &) const = default;
};

/// The leader's answer to a batch.
struct HeartbeatReply {
  /// In the order of the batch.
  std::vector<HeartbeatResult> Results;
  /// Inner addresses of the members that the leader can reach, itself included.
  std::vector<core::Address> Members;

  bool operator==(const HeartbeatReply &) const = default;
};

} // namespace almondgate::jobs

#endif
