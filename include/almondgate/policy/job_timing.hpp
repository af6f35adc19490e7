#ifndef ALMONDGATE_POLICY_JOB_TIMING_HPP
#define ALMONDGATE_POLICY_JOB_TIMING_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/job_spec.hpp"

#include <functional>

namespace almondgate::policy {

/// Most tasks a job may have, over all its occurrences.
inline constexpr int64_t MaxTasksPerJob = 200000;

/// Checks counts, sizes and the order of steps. Errors: InvalidArgument.
core::Status checkJob(const jobs::JobSpec &spec);

/// How long a step's tasks are expected to run, in milliseconds.
using PredictStep = std::function<int64_t(const jobs::StepSpec &)>;

/// The expected run time of the longest chain of steps, in milliseconds.
int64_t longestChainMs(const jobs::JobSpec &spec, const PredictStep &predict);

/// The same from a step on, that step counted.
int64_t chainFromMs(const jobs::JobSpec &spec, int64_t step,
                    const PredictStep &predict);

/// The expected work of one occurrence, in thousandths of a core times
/// milliseconds; long-running steps are not counted.
int64_t workOf(const jobs::JobSpec &spec, const PredictStep &predict);

} // namespace almondgate::policy

#endif
