#ifndef ALMONDGATE_POLICY_JOB_ROOM_HPP
#define ALMONDGATE_POLICY_JOB_ROOM_HPP

#include "almondgate/jobs/job_spec.hpp"
#include "almondgate/policy/job_admission.hpp"

#include <cstddef>

namespace almondgate::policy {

/// Estimates the bytes that a control member holds for a job. The state of the
/// tasks counts only while the job has not ended.
size_t jobBytes(const jobs::JobSpec &spec, bool ended);

/// Decides whether there is room for another job, whatever its size. The limit
/// is exceeded by at most the last job accepted, so that a fleet without jobs
/// accepts any job.
JobAdmissionDecision decideJobRoom(size_t used, size_t limit);

} // namespace almondgate::policy

#endif
