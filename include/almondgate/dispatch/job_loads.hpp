#ifndef ALMONDGATE_DISPATCH_JOB_LOADS_HPP
#define ALMONDGATE_DISPATCH_JOB_LOADS_HPP

#include "almondgate/dispatch/open_job.hpp"
#include "almondgate/dispatch/pool_load.hpp"

#include <map>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// What a job adds to PoolLoad::DemandMilliCpus.
int64_t demandOf(const OpenJob &job);
/// The same for one of its steps, by its index in OpenJob::Steps.
int64_t demandOf(const OpenJob &job, size_t step);

/// Changes the phases of tasks and keeps the counts of each job and the load of
/// each pool up to date, so that neither a placement pass nor a submission has
/// to look at all tasks. Holds pointers to the jobs.
class JobLoads {
public:
  /// Counts a job. Phases of its tasks that were set before are counted as they
  /// are; all later changes go through setPhase().
  void add(OpenJob &job);
  /// Takes a job out; to be called before it is destroyed.
  void remove(OpenJob &job);
  void clear();

  /// Changes the phase of a task.
  void setPhase(OpenJob &job, size_t task, TaskPhase phase);

  /// Brings the counts up to date after the job's record changed.
  void update(OpenJob &job);

  /// The load of a pool, or null if it has no open jobs.
  const PoolLoad *find(const core::PoolId &pool) const;
  const std::map<core::PoolId, PoolLoad> &pools() const { return Pools; }

  /// Number of tasks in TaskPhase::Unanswered.
  int64_t unanswered() const { return Unanswered; }

  /// Takes the jobs that are no longer open and have no runs left.
  std::vector<jobs::JobId> takeFinished();

  /// Describes each difference to counts made anew from `jobs`, for tests.
  std::vector<std::string> check(std::map<jobs::JobId, OpenJob> &jobs) const;

private:
  void countOpen(OpenJob &job);
  void uncountOpen(OpenJob &job);

  std::map<core::PoolId, PoolLoad> Pools;
  int64_t Unanswered = 0;
  /// Jobs that are no longer open and had runs when they ended.
  std::map<jobs::JobId, const OpenJob *> Closed;
};

} // namespace almondgate::dispatch

#endif
