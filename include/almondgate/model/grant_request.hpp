#ifndef ALMONDGATE_MODEL_GRANT_REQUEST_HPP
#define ALMONDGATE_MODEL_GRANT_REQUEST_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/model/work_class.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::model {

/// An entry's request to a pool's placer for a slot on an endpoint.
struct GrantRequest {
  /// Unique for each attempt of a request.
  core::RequestId Id;
  core::ProcessId Entry;
  core::PoolId Pool;
  core::QueueId Queue;
  core::TeamId Team;
  WorkClass Class = WorkClass::Batch;
  core::Size Need;
  /// How long the entry waits for an answer, in milliseconds.
  int64_t WaitMs = 0;
  bool Idempotent = false;
  /// VMs on which the request has already failed.
  std::vector<core::VmId> Exclude;

  bool operator==(const GrantRequest &) const = default;
};

} // namespace almondgate::model

#endif
