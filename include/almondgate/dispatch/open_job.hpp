#ifndef ALMONDGATE_DISPATCH_OPEN_JOB_HPP
#define ALMONDGATE_DISPATCH_OPEN_JOB_HPP

#include "almondgate/dispatch/near_wait.hpp"
#include "almondgate/dispatch/step_tasks.hpp"
#include "almondgate/dispatch/step_tickets.hpp"
#include "almondgate/dispatch/task_state.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"
#include "almondgate/jobs/job_record.hpp"

#include <map>
#include <optional>
#include <vector>

namespace almondgate::dispatch {

/// A job with unfinished tasks, or with runs that have yet to end.
struct OpenJob {
  /// Owned by the ledger, which keeps it at least as long as the job is open.
  const jobs::JobRecord *Record = nullptr;
  /// The content of the job, shared by its start orders.
  core::Value<std::string> Content;
  /// When its caller first submitted it.
  core::TimeMs SentAt;
  /// Deadline of the job's objective, by the expected run times.
  core::TimeMs Due;
  /// A task has been started or is done.
  bool Started = false;
  /// Accepted by an earlier leader: its tasks may run on endpoints that this
  /// leader has not read yet.
  bool Inherited = false;
  std::vector<TaskState> Tasks;
  /// Steps to CountedIn are kept by JobLoads. By occurrence, then by step.
  std::vector<StepTasks> Steps;
  /// Number of tasks that wait, and that occupy capacity; see StepTasks.
  int64_t Waiting = 0;
  int64_t Placed = 0;
  /// The pool whose load it is part of; none once it has ended.
  std::optional<core::PoolId> CountedIn;
  /// By occurrence and step.
  std::map<std::pair<int64_t, int64_t>, StepTickets> Tickets;
  /// Waits for a nearby place, by occurrence and step.
  std::map<std::pair<int64_t, int64_t>, NearWait> NearWaits;

  bool operator==(const OpenJob &) const = default;

  /// The step of a task; `task` is an index into Tasks.
  const jobs::StepSpec &stepOf(size_t task) const {
    const auto &steps = Record->Spec->Steps;
    return steps[Tasks[task].Step % steps.size()];
  }

  /// Null if the service was not asked about the step.
  StepTickets *findTickets(int64_t occurrence, int64_t step) {
    const auto it = Tickets.find({occurrence, step});
    return it == Tickets.end() ? nullptr : &it->second;
  }

  /// Where its tasks run; empty while that is not known.
  const core::PoolId &pool() const { return Record->Terms.Pool; }
};

} // namespace almondgate::dispatch

#endif
