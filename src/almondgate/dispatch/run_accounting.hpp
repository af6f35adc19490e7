#ifndef ALMONDGATE_SRC_DISPATCH_RUN_ACCOUNTING_HPP
#define ALMONDGATE_SRC_DISPATCH_RUN_ACCOUNTING_HPP

#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::dispatch {

/// What a task of the step takes of an endpoint's capacity: fill work only
/// uses processor time that others leave.
inline core::Size requiredCapacity(const jobs::StepSpec &step) {
  core::Size need = step.Need;
  if (step.Fills)
    need.MilliCpus = 0;
  return need;
}

/// Counts a run of the step at the endpoint.
inline void addRun(EndpointView &at, const EndpointView::TaskKey &task_key,
                   const jobs::StepSpec &step) {
  if (!at.Runs.insert(task_key).second)
    return;
  at.Used = at.Used + requiredCapacity(step);
  at.LongRunningCount += step.LongRunning ? 1 : 0;
  at.LongRunningMilliCpus +=
      step.LongRunning ? requiredCapacity(step).MilliCpus : 0;
}

/// Takes back addRun().
inline void removeRun(EndpointView &at, const EndpointView::TaskKey &task_key,
                      const jobs::StepSpec &step) {
  if (at.Runs.erase(task_key) == 0)
    return;
  at.Used = at.Used - requiredCapacity(step);
  at.LongRunningCount -= step.LongRunning ? 1 : 0;
  at.LongRunningMilliCpus -=
      step.LongRunning ? requiredCapacity(step).MilliCpus : 0;
}

} // namespace almondgate::dispatch

#endif
