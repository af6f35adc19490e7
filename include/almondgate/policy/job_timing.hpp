#ifndef ALMONDGATE_POLICY_JOB_TIMING_HPP
#define ALMONDGATE_POLICY_JOB_TIMING_HPP

#include "almondgate/jobs/job_spec.hpp"

#include <functional>

namespace almondgate::policy {

/// Predicts the run time of a step's tasks, in milliseconds.
using PredictStep = std::function<int64_t(const jobs::StepSpec &)>;

/// Predicted run time of the longest chain of dependent steps, in milliseconds.
int64_t longestChainMs(const jobs::JobSpec &spec, const PredictStep &predict);

/// Predicted run time of the longest chain that begins with a step, including
/// that step, in milliseconds.
int64_t chainFromMs(const jobs::JobSpec &spec, int64_t step,
                    const PredictStep &predict);

/// Predicted work of one occurrence, in millicores times milliseconds, without
/// long-running steps.
int64_t workOf(const jobs::JobSpec &spec, const PredictStep &predict);

/// Whether a step of the job is long-running.
bool hasLongRunning(const jobs::JobSpec &spec);

} // namespace almondgate::policy

#endif
