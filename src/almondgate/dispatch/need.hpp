#ifndef ALMONDGATE_SRC_DISPATCH_NEED_HPP
#define ALMONDGATE_SRC_DISPATCH_NEED_HPP

#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::dispatch {

/// What a task of the step takes of an endpoint's capacity: fill work only
/// uses processor time that others leave.
inline core::Size needOf(const jobs::StepSpec &step) {
  core::Size need = step.Need;
  if (step.Fills)
    need.MilliCpus = 0;
  return need;
}

/// Counts a run of the step at the endpoint.
inline void addRun(EndpointView &at, const EndpointView::TaskPlace &place,
                   const jobs::StepSpec &step) {
  if (!at.Runs.insert(place).second)
    return;
  at.Used = at.Used + needOf(step);
  at.LongRuns += step.LongRunning ? 1 : 0;
  at.LongMilliCpus += step.LongRunning ? needOf(step).MilliCpus : 0;
}

/// Takes back addRun().
inline void dropRun(EndpointView &at, const EndpointView::TaskPlace &place,
                    const jobs::StepSpec &step) {
  if (at.Runs.erase(place) == 0)
    return;
  at.Used = at.Used - needOf(step);
  at.LongRuns -= step.LongRunning ? 1 : 0;
  at.LongMilliCpus -= step.LongRunning ? needOf(step).MilliCpus : 0;
}

} // namespace almondgate::dispatch

#endif
