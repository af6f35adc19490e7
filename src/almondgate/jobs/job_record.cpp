#include "almondgate/jobs/job_record.hpp"
#include "almondgate/jobs/job_state.hpp"

#include <algorithm>

namespace almondgate::jobs {

namespace {

// Number of tasks of the steps before `step` in one occurrence.
int64_t tasksBefore(const JobSpec &spec, int64_t step) {
  int64_t n = 0;
  for (int64_t i = 0; i < step; ++i)
    n += spec.Steps[i].Count;
  return n;
}

} // namespace

int64_t tasksPerOccurrence(const JobSpec &spec) {
  return tasksBefore(spec, int64_t(spec.Steps.size()));
}

std::optional<size_t> indexOf(const JobSpec &spec, const TaskRef &task) {
  const bool known =
      task.Occurrence >= 0 && task.Occurrence < spec.occurrences() &&
      task.Step >= 0 && task.Step < int64_t(spec.Steps.size()) &&
      task.Index >= 0 && task.Index < spec.Steps[task.Step].Count;
  if (!known)
    return std::nullopt;
  return task.Occurrence * tasksPerOccurrence(spec) +
         tasksBefore(spec, task.Step) + task.Index;
}

TaskRef taskAt(const JobId &job, const JobSpec &spec, size_t at) {
  const int64_t per = tasksPerOccurrence(spec);
  TaskRef task{job, int64_t(at) / per, 0, int64_t(at) % per};
  while (task.Index >= spec.Steps[task.Step].Count)
    task.Index -= spec.Steps[task.Step++].Count;
  return task;
}

bool isStepDone(const JobRecord &job, int64_t occurrence, int64_t step) {
  const auto first = indexOf(*job.Spec, {job.Id, occurrence, step, 0});
  if (!first)
    return true;
  const auto from = job.Tasks.begin() + int64_t(*first);
  return std::all_of(from, from + job.Spec->Steps[step].Count,
                     [](const TaskProgress &task) { return task.Done; });
}

bool isStepReady(const JobRecord &job, int64_t occurrence, int64_t step) {
  const auto &after = job.Spec->Steps[step].After;
  return std::all_of(after.begin(), after.end(), [&](int64_t earlier) {
    return isStepDone(job, occurrence, earlier);
  });
}

const char *jobStateName(JobState state) {
  switch (state) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "";
}

} // namespace almondgate::jobs
