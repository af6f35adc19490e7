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
  int64_t LongRunningTasks = 0;
  int64_t ConsecutiveFailures = 0;

  bool operator==(const PlacementOption &) const = default;
};

/// What a task wants of its place.
struct PlacementRequirements {
  core::Size Need;
  /// The task is long-running: kept together with others of its kind, so that
  /// the other VMs can move, but over several racks.
  bool LongRunning = false;
  /// Long-running tasks of a step that should be on one endpoint at most.
  int64_t MaxStepTasks = 1;
  /// Waits for the rack near the data rather than run elsewhere.
  bool OnlyNearData = false;

  bool operator==(const PlacementRequirements &) const = default;
};

/// How many of a step's long-running tasks share an endpoint: a quarter, but
/// two and what the budget lets go at once.
int64_t maxTasksPerEndpoint(int64_t count, int64_t may_miss);

/// The option to take, or nothing where the task does not fit anywhere. Short
/// tasks are packed tightly, so that wide ones still find room; long-running
/// ones share few endpoints on several racks.
std::optional<size_t>
choosePlacement(const std::vector<PlacementOption> &options,
                const PlacementRequirements &need);

} // namespace almondgate::policy

#endif
