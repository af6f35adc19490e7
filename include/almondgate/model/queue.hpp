#ifndef ALMONDGATE_MODEL_QUEUE_HPP
#define ALMONDGATE_MODEL_QUEUE_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/model/work_class.hpp"

namespace almondgate::model {

/// A queue to which callers submit requests. It names the pool that serves the
/// requests and the team that they are counted for.
struct Queue {
  core::QueueId Id;
  core::PoolId Pool;
  core::TeamId Team;
  /// Accepts requests without a key.
  bool Open = false;
  WorkClass Class = WorkClass::Batch;
  /// Size of a request that declares none.
  core::Size DefaultSize{1, 1000, 1024, 0};

  bool operator==(const Queue &) const = default;
};

} // namespace almondgate::model

#endif
