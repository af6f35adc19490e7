#ifndef ALMONDGATE_SRC_DISPATCH_RUN_ACCOUNTING_HPP
#define ALMONDGATE_SRC_DISPATCH_RUN_ACCOUNTING_HPP

#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::dispatch {

/// Returns the capacity of an endpoint that a task of the step occupies. Fill
/// work occupies no processor time, as it only uses what others leave idle.
inline core::Size requiredCapacity(const jobs::StepSpec &step) {
  core::Size need = step.Need;
  if (step.Fills)
    need.MilliCpus = 0;
  return need;
}

/// Returns the capacity that is free for short tasks.
inline core::Size freeCapacity(const EndpointView &at) {
  constexpr int64_t Hundred = 100;
  core::Size usable = at.Facts.Capacity;
  usable.MilliCpus = usable.MilliCpus * at.CapacityPercent / Hundred;
  return usable - at.Used;
}

/// Adds a run of the step to the endpoint's runs and its used capacity; does
/// nothing if it is there already.
inline void addRun(EndpointView &at, const EndpointView::TaskKey &task_key,
                   const jobs::StepSpec &step) {
  if (!at.Runs.insert(task_key).second)
    return;
  at.ExpectedRuns.reset();
  at.Used = at.Used + requiredCapacity(step);
  at.LongRunningCount += step.LongRunning ? 1 : 0;
  at.LongRunningMilliCpus +=
      step.LongRunning ? requiredCapacity(step).MilliCpus : 0;
}

/// Reverses addRun(); does nothing if the run is not there.
inline void removeRun(EndpointView &at, const EndpointView::TaskKey &task_key,
                      const jobs::StepSpec &step) {
  if (at.Runs.erase(task_key) == 0)
    return;
  at.ExpectedRuns.reset();
  at.Used = at.Used - requiredCapacity(step);
  at.LongRunningCount -= step.LongRunning ? 1 : 0;
  at.LongRunningMilliCpus -=
      step.LongRunning ? requiredCapacity(step).MilliCpus : 0;
}

} // namespace almondgate::dispatch

#endif
