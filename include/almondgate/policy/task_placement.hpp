#ifndef ALMONDGATE_POLICY_TASK_PLACEMENT_HPP
#define ALMONDGATE_POLICY_TASK_PLACEMENT_HPP

#include "almondgate/core/size.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondgate::policy {

/// An endpoint that may run a task.
struct PlacementOption {
  core::Size Free;
  core::Size Capacity;
  /// The rack is the one near the data, or the task has none.
  bool NearData = true;
  /// Tasks of the same step there, and on its rack.
  int64_t SameStep = 0;
  int64_t SameStepOnRack = 0;
  /// Long-running tasks there.
  int64_t Lasting = 0;
  int64_t FailuresInRow = 0;

  bool operator==(const PlacementOption &) const = default;
};

/// What a task wants of its place.
struct PlacementNeed {
  core::Size Need;
  /// Spread over endpoints and racks, so that one loss takes few of them.
  bool Spread = false;
  /// Waits for the rack near the data rather than run elsewhere.
  bool OnlyNearData = false;

  bool operator==(const PlacementNeed &) const = default;
};

/// The option to take, or nothing where the task does not fit anywhere. Short
/// tasks are packed tightly, so that wide ones still find room; long-running
/// ones are spread.
std::optional<size_t> choosePlace(const std::vector<PlacementOption> &options,
                                  const PlacementNeed &need);

} // namespace almondgate::policy

#endif
