#ifndef ALMONDGATE_MODEL_QUEUE_HPP
#define ALMONDGATE_MODEL_QUEUE_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/model/work_class.hpp"

namespace almondgate::model {

/// Where callers hand work in: names the pool that serves it and the team that
/// it counts for.
struct Queue {
  core::QueueId Id;
  core::PoolId Pool;
  core::TeamId Team;
  /// Takes work without a key.
  bool Open = false;
  WorkClass Class = WorkClass::Batch;
  /// Taken for a request that declares no size.
  core::Size DefaultSize{1, 1000, 1024, 0};

  bool operator==(const Queue &) const = default;
};

} // namespace almondgate::model

#endif
