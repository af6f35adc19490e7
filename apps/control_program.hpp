#ifndef ALMONDGATE_APPS_CONTROL_PROGRAM_HPP
#define ALMONDGATE_APPS_CONTROL_PROGRAM_HPP

#include "almondgate/control/control_task.hpp"
#include "almondgate/task/loop.hpp"

#include <functional>

namespace almondgate::apps {

/// What a program adds to a control member: its calls to endpoints, and what
/// it serves to endpoints and operators.
struct ControlSide {
  dispatch::DispatcherHooks Gateway;
  /// Starts to serve; called once the member runs.
  std::function<core::Status(control::ControlTask &)> Start;
  /// No longer takes requests, before the process ends.
  std::function<void()> Stop;
};

using MakeControlSide =
    std::function<ControlSide(task::Loop &, const config::ControlSettings &)>;

/// Runs a control member until it is told to stop; gives its exit code.
int controlMain(int argc, char **argv, const MakeControlSide &make_side);

} // namespace almondgate::apps

#endif
