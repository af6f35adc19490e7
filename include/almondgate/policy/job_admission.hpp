#ifndef ALMONDGATE_POLICY_JOB_ADMISSION_HPP
#define ALMONDGATE_POLICY_JOB_ADMISSION_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace almondgate::policy {

/// What a job that was accepted before still asks of its pool. Work is in
/// thousandths of a core times milliseconds.
struct JobDemand {
  /// Until its objective; negative once that has passed.
  int64_t DueInMs = 0;
  /// Of tasks that run or may start now.
  int64_t ReadyWork = 0;
  /// Of steps that wait for others.
  int64_t LaterWork = 0;

  bool operator==(const JobDemand &) const = default;
};

/// What the door looks at when a job comes.
struct JobAdmissionInput {
  /// Processor time that the pool can give, in thousandths of a core.
  int64_t CapacityMilliCpus = 0;
  /// The same on VMs that are on their way or may be sent for, and when they
  /// are there.
  int64_t IncomingMilliCpus = 0;
  int64_t IncomingInMs = 0;
  std::vector<JobDemand> OpenJobs;
  /// Work of the job itself.
  int64_t Work = 0;
  /// The part of the steps that wait for no other, and how long they run.
  int64_t FirstStepWork = 0;
  int64_t FirstStepMs = 0;
  /// Until the job's objective, from its first sending on.
  int64_t DueInMs = 0;
  /// How long its first task may wait for that.
  int64_t SlackMs = 0;
  bool LongRunning = false;

  bool operator==(const JobAdmissionInput &) const = default;
};

/// Whether a job is accepted, and if not, when to come back.
struct JobAdmissionDecision {
  bool Accept = true;
  int64_t RetryAfterMs = 0;
  std::string Reason;

  bool operator==(const JobAdmissionDecision &) const = default;
};

/// Refuses a job that could not be in time behind what is due before it, or
/// that would make what was accepted before late. What is late already is
/// served with what is left over, and so is a job that comes too late.
/// Answers the load where a queue asks for several times what its pool holds.
///
/// Work is taken as a fluid served earliest due first; source of the test: the
/// processor demand criterion, Baruah, Rosier and Howell, Real-Time Systems
/// 2(4), 1990.
JobAdmissionDecision decideJobAdmission(const JobAdmissionInput &input);

/// The work that the pool can do from now until then.
int64_t supplyUntil(const JobAdmissionInput &input, int64_t ms);

} // namespace almondgate::policy

#endif
