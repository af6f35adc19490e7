#ifndef ALMONDGATE_APPS_CONTROL_PROGRAM_HPP
#define ALMONDGATE_APPS_CONTROL_PROGRAM_HPP

#include "almondgate/control/control_task.hpp"
#include "almondgate/core/budget_reading.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace almondgate::apps {

/// Connects a control member to one outside protocol: its calls to endpoints,
/// and what it serves to endpoints and operators. Its functions own the objects
/// that they use, which are destroyed after the member and before the loop.
struct ControlAdapter {
  dispatch::DispatcherHooks Gateway;
  /// Starts to serve; called once the member runs. Optional.
  std::function<core::Status(control::ControlTask &)> Start;
  /// Lets callers use their connections for one more request at most; called
  /// when the member begins to stop. Optional.
  std::function<void()> Drain;
  /// Stops accepting connections; called once another member may lead.
  /// Optional.
  std::function<void()> StopAccepting;
  /// Whether no request is open; the process ends only then, within a bound.
  /// Optional.
  std::function<bool()> IsIdle;
  /// Returns the state of its byte budgets. Optional.
  std::function<std::vector<core::BudgetReading>()> Budgets;
};

using MakeControlAdapter = std::function<ControlAdapter(
    task::Loop &, const config::ControlSettings &,
    const std::shared_ptr<task::DescriptorBudget> &)>;

/// Runs a control member until a signal or a storage error stops it; returns
/// its exit code.
int controlMain(int argc, char **argv, const MakeControlAdapter &make_adapter);

} // namespace almondgate::apps

#endif
