#ifndef ALMONDGATE_DISPATCH_EXPECTED_RUN_HPP
#define ALMONDGATE_DISPATCH_EXPECTED_RUN_HPP

#include "almondgate/core/size.hpp"
#include "almondgate/core/time_ms.hpp"

#include <algorithm>

namespace almondgate::dispatch {

/// A run that is expected to end, and the capacity that it then frees.
struct ExpectedRun {
  core::TimeMs Started;
  /// Expected run time in milliseconds.
  int64_t RunMs = 0;
  core::Size Need;

  bool operator==(const ExpectedRun &) const = default;

  /// Expected time in milliseconds until the end. A run that is overdue is
  /// expected to go on for as long as it is overdue: on a slow VM that is a
  /// multiple of its expected run time.
  int64_t remainingMs(core::TimeMs now) const {
    const int64_t left = RunMs - (now - Started).Count;
    return std::max(left, -left);
  }
};

} // namespace almondgate::dispatch

#endif
