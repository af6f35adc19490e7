#ifndef ALMONDGATE_SRC_DISPATCH_NEED_HPP
#define ALMONDGATE_SRC_DISPATCH_NEED_HPP

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

} // namespace almondgate::dispatch

#endif
