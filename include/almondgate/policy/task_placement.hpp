#ifndef ALMONDGATE_POLICY_TASK_PLACEMENT_HPP
#define ALMONDGATE_POLICY_TASK_PLACEMENT_HPP

#include "almondgate/core/size.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondgate::policy {

/// An endpoint that may be chosen for a task.
struct PlacementOption {
  core::Size Free;
  core::Size Capacity;
  /// The endpoint is on the task's preferred rack, near the data, or the task
  /// has no preferred rack.
  bool NearData = true;
  /// Number of tasks of the same step on the endpoint, and on its rack.
  int64_t SameStep = 0;
  int64_t SameStepOnRack = 0;
  /// Number of long-running tasks on the endpoint.
  int64_t LongRunningTasks = 0;
  int64_t ConsecutiveFailures = 0;
  /// The endpoint has just started and is still slow.
  bool Cold = false;

  bool operator==(const PlacementOption &) const = default;
};

/// Placement requirements of a task.
struct PlacementRequirements {
  core::Size Need;
  /// The task is long-running. Long-running tasks are consolidated on few
  /// endpoints, so that the other VMs can be moved, but spread over racks.
  bool LongRunning = false;
  /// Preferred maximum of long-running tasks of a step on one endpoint.
  int64_t MaxStepTasks = 1;

  bool operator==(const PlacementRequirements &) const = default;
};

/// Maximum number of a step's long-running tasks per endpoint: a quarter of
/// them, but at least two, and at least the availability budget `may_miss`.
int64_t maxTasksPerEndpoint(int64_t count, int64_t may_miss);

/// Chooses the index of an option, or nothing if the task fits nowhere. Short
/// tasks are packed tightly, so that capacity remains for wide tasks.
/// Long-running tasks share few endpoints on several racks.
std::optional<size_t>
choosePlacement(const std::vector<PlacementOption> &options,
                const PlacementRequirements &need);

} // namespace almondgate::policy

#endif
