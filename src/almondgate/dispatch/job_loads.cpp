#include "almondgate/dispatch/job_loads.hpp"
#include "almondgate/policy/task_placement.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

const jobs::StepSpec &specOf(const OpenJob &job, size_t step) {
  const auto &steps = job.Record->Spec->Steps;
  return steps[step % steps.size()];
}

bool isScheduled(const OpenJob &job) {
  return job.Record->Spec->Repetitions > 0;
}

} // namespace

int64_t demandOf(const OpenJob &job, size_t step) {
  const auto &spec = specOf(job, step);
  const StepTasks &tasks = job.Steps[step];
  if (!tasks.Ready || spec.Fills || isScheduled(job))
    return 0;
  const int64_t placed = spec.LongRunning ? 0 : tasks.Placed;
  return (tasks.Waiting + placed) * spec.Need.MilliCpus;
}

int64_t demandOf(const OpenJob &job) {
  int64_t demand = 0;
  for (size_t step = 0; step < job.Steps.size(); ++step)
    demand += demandOf(job, step);
  return demand;
}

namespace {

// 0 for a job without long-running steps.
int64_t minVmsOf(const OpenJob &job) {
  int64_t out = 0;
  for (const auto &step : job.Record->Spec->Steps) {
    if (!step.LongRunning)
      continue;
    const int64_t per_vm =
        policy::maxTasksPerEndpoint(step.Count, step.MayMiss);
    out = std::max(out, (step.Count + per_vm - 1) / per_vm);
  }
  return out;
}

void count(StepTasks &tasks, const TaskState &state, int64_t n) {
  tasks.Waiting += state.Phase == TaskPhase::Waiting ? n : 0;
  tasks.Placed += state.isPlaced() ? n : 0;
}

std::vector<StepTasks> countSteps(const OpenJob &job) {
  const auto &spec = *job.Record->Spec;
  std::vector<StepTasks> out;
  size_t at = 0;
  for (int64_t k = 0; k < spec.occurrences(); ++k)
    for (size_t s = 0; s < spec.Steps.size(); ++s) {
      StepTasks tasks;
      tasks.First = at;
      tasks.Ready = jobs::isStepReady(*job.Record, k, int64_t(s));
      for (int64_t i = 0; i < spec.Steps[s].Count; ++i)
        count(tasks, job.Tasks[at++], 1);
      out.push_back(tasks);
    }
  return out;
}

int64_t waitingIn(const std::vector<StepTasks> &steps) {
  int64_t waiting = 0;
  for (const auto &step : steps)
    waiting += step.Waiting;
  return waiting;
}

void addTo(PoolLoad &pool, OpenJob &job) {
  pool.Open.emplace(job.Record->Id, &job);
  if (job.Waiting > 0)
    pool.Waiting.emplace(job.Record->Id, &job);
  pool.DemandMilliCpus += demandOf(job);
  if (const int64_t min_vms = minVmsOf(job); min_vms > 0)
    ++pool.JobsByMinVms[min_vms];
}

} // namespace

void JobLoads::add(OpenJob &job) {
  job.Steps = countSteps(job);
  job.Waiting = waitingIn(job.Steps);
  job.Placed = 0;
  for (size_t step = 0; step < job.Steps.size(); ++step) {
    job.Placed += job.Steps[step].Placed;
    const size_t first = job.Steps[step].First;
    for (int64_t i = 0; i < specOf(job, step).Count; ++i)
      job.Tasks[first + size_t(i)].Step = step;
  }
  if (job.Record->isOpen())
    countOpen(job);
}

void JobLoads::countOpen(OpenJob &job) {
  job.CountedIn = job.pool();
  addTo(Pools[job.pool()], job);
}

void JobLoads::uncountOpen(OpenJob &job) {
  const auto it = Pools.find(*std::exchange(job.CountedIn, std::nullopt));
  PoolLoad &pool = it->second;
  pool.Open.erase(job.Record->Id);
  pool.Waiting.erase(job.Record->Id);
  pool.DemandMilliCpus -= demandOf(job);
  const auto min_vms = pool.JobsByMinVms.find(minVmsOf(job));
  if (min_vms != pool.JobsByMinVms.end() && --min_vms->second == 0)
    pool.JobsByMinVms.erase(min_vms);
  if (pool.Open.empty())
    Pools.erase(it);
}

void JobLoads::remove(OpenJob &job) {
  Closed.erase(job.Record->Id);
  if (job.CountedIn)
    uncountOpen(job);
}

void JobLoads::clear() {
  Pools.clear();
  Closed.clear();
  Unanswered = 0;
}

void JobLoads::setPhase(OpenJob &job, size_t task, TaskPhase phase) {
  TaskState &state = job.Tasks[task];
  if (state.Phase == phase)
    return;
  const size_t step = state.Step;
  StepTasks &tasks = job.Steps[step];
  const int64_t demand = demandOf(job, step);
  const StepTasks before = tasks;
  Unanswered -= state.Phase == TaskPhase::Unanswered ? 1 : 0;
  Unanswered += phase == TaskPhase::Unanswered ? 1 : 0;
  count(tasks, state, -1);
  state.Phase = phase;
  count(tasks, state, 1);
  job.Placed += tasks.Placed - before.Placed;
  const bool waited = job.Waiting > 0;
  job.Waiting += tasks.Waiting - before.Waiting;
  if (!job.CountedIn)
    return;
  PoolLoad &pool = Pools.at(*job.CountedIn);
  pool.DemandMilliCpus += demandOf(job, step) - demand;
  if (job.Waiting > 0 && !waited)
    pool.Waiting.emplace(job.Record->Id, &job);
  else if (job.Waiting == 0 && waited)
    pool.Waiting.erase(job.Record->Id);
}

void JobLoads::update(OpenJob &job) {
  const bool open = job.Record->isOpen();
  if (job.CountedIn && (!open || *job.CountedIn != job.pool()))
    uncountOpen(job);
  const auto &steps = job.Record->Spec->Steps;
  for (size_t step = 0; step < job.Steps.size(); ++step) {
    if (job.Steps[step].Ready)
      continue;
    job.Steps[step].Ready =
        jobs::isStepReady(*job.Record, int64_t(step / steps.size()),
                          int64_t(step % steps.size()));
    if (job.Steps[step].Ready && job.CountedIn)
      Pools.at(*job.CountedIn).DemandMilliCpus += demandOf(job, step);
  }
  if (open && !job.CountedIn)
    countOpen(job);
  if (!open)
    Closed.emplace(job.Record->Id, &job);
}

const PoolLoad *JobLoads::find(const core::PoolId &pool) const {
  const auto it = Pools.find(pool);
  return it == Pools.end() ? nullptr : &it->second;
}

std::vector<jobs::JobId> JobLoads::takeFinished() {
  std::vector<jobs::JobId> out;
  for (auto it = Closed.begin(); it != Closed.end();) {
    if (it->second->Placed > 0) {
      ++it;
      continue;
    }
    out.push_back(it->first);
    it = Closed.erase(it);
  }
  return out;
}

std::vector<std::string>
JobLoads::check(std::map<jobs::JobId, OpenJob> &jobs) const {
  std::vector<std::string> out;
  std::map<core::PoolId, PoolLoad> pools;
  int64_t unanswered = 0;
  for (auto &[id, job] : jobs) {
    int64_t placed = 0;
    for (const TaskState &state : job.Tasks) {
      placed += state.isPlaced() ? 1 : 0;
      unanswered += state.Phase == TaskPhase::Unanswered ? 1 : 0;
    }
    if (countSteps(job) != job.Steps || waitingIn(job.Steps) != job.Waiting ||
        placed != job.Placed)
      out.push_back("the counts of job " + id.str() + " are out of date");
    if (job.Record->isOpen())
      addTo(pools[job.pool()], job);
    else if (!Closed.contains(id))
      out.push_back("it is not known that job " + id.str() + " has ended");
  }
  if (pools != Pools)
    out.push_back("the load of the pools is out of date");
  if (unanswered != Unanswered)
    out.push_back("the number of unanswered starts is out of date");
  return out;
}

} // namespace almondgate::dispatch
