#ifndef ALMONDGATE_DISPATCH_POOL_SHARE_HPP
#define ALMONDGATE_DISPATCH_POOL_SHARE_HPP

#include "almondgate/core/size.hpp"
#include "almondgate/core/time_ms.hpp"

#include <cstddef>

namespace almondgate::dispatch {

/// What one endpoint adds to the sums and lists of its pool.
struct PoolShare {
  /// It counts towards the capacity of the pool.
  bool Serving = false;
  /// It accepts starts once BackOffUntil has passed.
  bool Usable = false;
  /// It may have runs that are not known here.
  bool Unread = false;
  /// Its last request failed.
  bool Suspect = false;
  core::TimeMs BackOffUntil{INT64_MIN / 2};
  core::Size Capacity;
  int64_t FreeMilliCpus = 0;
  /// Processor time that its long-running tasks leave.
  int64_t ShortTaskMilliCpus = 0;

  bool operator==(const PoolShare &) const = default;
};

} // namespace almondgate::dispatch

#endif
