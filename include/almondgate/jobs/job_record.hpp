#ifndef ALMONDGATE_JOBS_JOB_RECORD_HPP
#define ALMONDGATE_JOBS_JOB_RECORD_HPP

#include "almondgate/core/value.hpp"
#include "almondgate/jobs/job_spec.hpp"
#include "almondgate/jobs/task_progress.hpp"
#include "almondgate/jobs/task_ref.hpp"

#include <optional>

namespace almondgate::jobs {

/// An accepted job with what is durable of its tasks.
struct JobRecord {
  JobId Id;
  core::QueueId Queue;
  core::TeamId Team;
  core::Value<JobSpec> Spec;
  int64_t AcceptedWallMs = 0;
  /// The leadership that accepted it.
  uint64_t Epoch = 0;
  /// The call that it was accepted for; later tries of it are told the same.
  std::string Call;
  bool Cancelled = false;
  bool Failed = false;
  /// Wall clock of the end; 0 while the job is open.
  int64_t EndedWallMs = 0;
  /// All occurrences one after the other, each step by step.
  std::vector<TaskProgress> Tasks;
  int64_t Remaining = 0;

  bool operator==(const JobRecord &) const = default;

  bool isOpen() const { return !Cancelled && !Failed && Remaining > 0; }
};

/// Tasks of one occurrence.
int64_t tasksPerOccurrence(const JobSpec &spec);

/// The place of a task in JobRecord::Tasks; nothing for one that the job does
/// not have.
std::optional<size_t> indexOf(const JobSpec &spec, const TaskRef &task);

/// The reverse of indexOf(); `at` is a valid place.
TaskRef taskAt(const JobId &job, const JobSpec &spec, size_t at);

/// Tells whether all tasks of a step's occurrence are done.
bool isStepDone(const JobRecord &job, int64_t occurrence, int64_t step);

/// Tells whether the steps that a step waits for are done.
bool isStepReady(const JobRecord &job, int64_t occurrence, int64_t step);

} // namespace almondgate::jobs

#endif
