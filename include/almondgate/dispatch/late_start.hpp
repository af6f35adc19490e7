#ifndef ALMONDGATE_DISPATCH_LATE_START_HPP
#define ALMONDGATE_DISPATCH_LATE_START_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>

namespace almondgate::dispatch {

/// Start orders for a task that got no answer. The endpoint may still carry one
/// out, whichever of its incarnations is there by then, unless that one has
/// seen a higher fencing token.
struct LateStart {
  jobs::EndpointId Endpoint;
  /// The highest run that was ordered; 0 if an earlier leader ordered it.
  int64_t Run = 0;
  /// How many orders got no answer.
  int64_t Tries = 0;
  /// When the last of them was given up.
  core::TimeMs Since;

  bool operator==(const LateStart &) const = default;
};

} // namespace almondgate::dispatch

#endif
