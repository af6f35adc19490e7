#ifndef ALMONDGATE_POLICY_JOB_TIMING_HPP
#define ALMONDGATE_POLICY_JOB_TIMING_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/job_spec.hpp"

#include <functional>

namespace almondgate::policy {

/// Most tasks a job may have, over all its occurrences.
inline constexpr int64_t MaxTasksOfJob = 200000;

/// Checks counts, sizes and the order of steps. Errors: InvalidArgument.
core::Status checkJob(const jobs::JobSpec &spec);

/// How long a step's tasks are expected to run, in milliseconds.
using ExpectStep = std::function<int64_t(const jobs::StepSpec &)>;

/// The expected run time of the longest chain of steps, in milliseconds.
int64_t longestChainMs(const jobs::JobSpec &spec, const ExpectStep &expect);

/// The same from a step on, that step counted.
int64_t chainFromMs(const jobs::JobSpec &spec, int64_t step,
                    const ExpectStep &expect);

/// The expected work of one occurrence, in thousandths of a core times
/// milliseconds; long-running steps are not counted.
int64_t workOf(const jobs::JobSpec &spec, const ExpectStep &expect);

} // namespace almondgate::policy

#endif
