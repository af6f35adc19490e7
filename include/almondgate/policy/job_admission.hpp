#ifndef ALMONDGATE_POLICY_JOB_ADMISSION_HPP
#define ALMONDGATE_POLICY_JOB_ADMISSION_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace almondgate::policy {

/// Remaining demand of an accepted job on its pool. Work is in millicores times
/// milliseconds.
struct JobDemand {
  /// Time until its due time, in milliseconds; negative when overdue.
  int64_t DueInMs = 0;
  /// Work of tasks that run or may start now.
  int64_t ReadyWork = 0;
  /// Work of steps that wait for other steps.
  int64_t LaterWork = 0;

  bool operator==(const JobDemand &) const = default;
};

/// Input of decideJobAdmission(): the state of the pool and the submitted job.
struct JobAdmissionInput {
  /// CPU capacity of the pool, in millicores.
  int64_t CapacityMilliCpus = 0;
  /// CPU capacity, in millicores, of VMs that are moving to the pool or may be
  /// moved there, and the time until they arrive, in milliseconds.
  int64_t IncomingMilliCpus = 0;
  int64_t IncomingInMs = 0;
  /// Jobs of the pool that were accepted before and have not ended.
  std::vector<JobDemand> OpenJobs;
  /// Work of the submitted job, in millicores times milliseconds.
  int64_t Work = 0;
  /// Work of its steps without dependencies, and the longest run time of these
  /// steps in milliseconds.
  int64_t FirstStepWork = 0;
  int64_t FirstStepMs = 0;
  /// Time until the job's due time, which counts from its first submission, in
  /// milliseconds.
  int64_t DueInMs = 0;
  /// Longest wait of its first task with which the job still meets its due
  /// time, in milliseconds.
  int64_t SlackMs = 0;
  bool LongRunning = false;

  bool operator==(const JobAdmissionInput &) const = default;
};

/// Whether a job is accepted, and if not, when to retry.
struct JobAdmissionDecision {
  bool Accept = true;
  int64_t RetryAfterMs = 0;
  /// Explanation for logs and callers.
  std::string Reason;

  bool operator==(const JobAdmissionDecision &) const = default;
};

/// Decides on a submitted job. Refuses a job that would miss its due time
/// behind the open jobs that are due before it, or that would make an open job
/// miss its due time. Open jobs that are overdue get only the capacity that is
/// left over, and do not count. A job that is submitted too late to meet its
/// due time is accepted only while the backlog is small. This handles load
/// where a queue demands several times the capacity of its pool.
///
/// Work is modelled as a fluid that is served earliest due date first. Source
/// of the test: the processor demand criterion, Baruah, Rosier and Howell,
/// Real-Time Systems 2(4), 1990.
JobAdmissionDecision decideJobAdmission(const JobAdmissionInput &input);

/// Work that the pool can do within the next `ms` milliseconds, in millicores
/// times milliseconds.
int64_t supplyUntil(const JobAdmissionInput &input, int64_t ms);

} // namespace almondgate::policy

#endif
