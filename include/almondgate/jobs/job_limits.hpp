#ifndef ALMONDGATE_JOBS_JOB_LIMITS_HPP
#define ALMONDGATE_JOBS_JOB_LIMITS_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/jobs/job_spec.hpp"

#include <cstddef>
#include <cstdint>

namespace almondgate::jobs {

/// Maximum size of a job's content in bytes. Each start order carries a copy.
inline constexpr size_t MaxContentBytes = 4000;

/// Maximum number of steps of a job, and of dependencies over all its steps.
inline constexpr size_t MaxSteps = 1000;
inline constexpr size_t MaxDependencies = 10000;

/// Bound of the values of an encoded job: each of its steps, fields and
/// dependencies is one. A job with the most of each has about 40,000.
inline constexpr size_t MaxEncodedValues = 65536;

/// Maximum number of tasks of a job, over all its occurrences.
inline constexpr int64_t MaxTasksPerJob = 200000;

/// Maximum number of tasks that must start together.
inline constexpr int64_t MaxGangTasks = 10000;

/// Maximum of each resource that a task may request, in the units of
/// core::Size. Sums over a whole fleet stay far below the maximum of int64_t.
inline constexpr int64_t MaxTaskAmount = 1000000000000;

/// Maximum estimated run time of a task, in milliseconds: 30 days.
inline constexpr int64_t MaxEstimateMs = int64_t{30} * 24 * 3600 * 1000;

/// Maximum interval between occurrences, in milliseconds: 366 days.
inline constexpr int64_t MaxIntervalMs = int64_t{366} * 24 * 3600 * 1000;

/// Latest due time of the first occurrence, in milliseconds since 1970: the
/// year 5138.
inline constexpr int64_t MaxStartAtMs = 100000000000000;

/// Maximum estimated work of a job, in millicores times milliseconds. Sums over
/// thousands of jobs stay below the maximum of int64_t.
inline constexpr int64_t MaxWork = 1000000000000000;

/// Checks a job against these bounds, and that its steps depend on earlier
/// steps only. To be applied where a job comes in, not to stored jobs. Errors:
/// InvalidArgument.
core::Status checkJob(const JobSpec &spec);

} // namespace almondgate::jobs

#endif
