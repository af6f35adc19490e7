#ifndef ALMONDGATE_JOBS_JOB_RECORD_HPP
#define ALMONDGATE_JOBS_JOB_RECORD_HPP

#include "almondgate/core/value.hpp"
#include "almondgate/jobs/job_spec.hpp"
#include "almondgate/jobs/job_terms.hpp"
#include "almondgate/jobs/task_progress.hpp"
#include "almondgate/jobs/task_ref.hpp"

#include <map>
#include <optional>
#include <set>

namespace almondgate::jobs {

/// An accepted job with the durable state of its tasks.
struct JobRecord {
  JobId Id;
  core::QueueId Queue;
  core::TeamId Team;
  core::Value<JobSpec> Spec;
  /// Wall-clock time when the job was first sent, in milliseconds since 1970;
  /// earlier than the acceptance if the job was refused before.
  int64_t AcceptedWallMs = 0;
  /// Epoch of the leader that accepted it.
  uint64_t Epoch = 0;
  /// Id of the call with which it was accepted; retries of that call get the
  /// same answer.
  std::string Call;
  /// Without a pool in records of earlier versions whose queue has not been
  /// configured since.
  JobTerms Terms;
  bool Cancelled = false;
  bool Failed = false;
  /// Wall-clock time of the end, in milliseconds since 1970; 0 while the job is
  /// open.
  int64_t EndedWallMs = 0;
  /// Tasks ordered by occurrence, then by step.
  std::vector<TaskProgress> Tasks;
  /// Where starts of tasks that are not done got no answer, by the index of the
  /// task; empty once the job has ended.
  std::map<uint64_t, std::set<EndpointId>> UnansweredStarts;
  /// Number of tasks that are not done.
  int64_t Remaining = 0;

  bool operator==(const JobRecord &) const = default;

  bool isOpen() const { return !Cancelled && !Failed && Remaining > 0; }
};

/// Number of tasks in one occurrence.
int64_t tasksPerOccurrence(const JobSpec &spec);

/// Index of a task in JobRecord::Tasks; empty if the job has no such task.
std::optional<size_t> indexOf(const JobSpec &spec, const TaskRef &task);

/// The inverse of indexOf(); `at` must be a valid index.
TaskRef taskAt(const JobId &job, const JobSpec &spec, size_t at);

/// Whether all tasks of a step are done in one occurrence.
bool isStepDone(const JobRecord &job, int64_t occurrence, int64_t step);

/// Whether all steps that a step depends on are done in one occurrence.
bool isStepReady(const JobRecord &job, int64_t occurrence, int64_t step);

} // namespace almondgate::jobs

#endif
