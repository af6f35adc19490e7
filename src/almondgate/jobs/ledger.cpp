#include "almondgate/jobs/ledger.hpp"

#include <algorithm>
#include <set>

namespace almondgate::jobs {

namespace {

// Gives a job without a configured pool that of its queue, and one whose terms
// are not known all terms of its queue.
void replacePool(const FleetConfig &config, JobRecord &job) {
  const auto *queue = findQueue(config, job.Queue);
  if (!queue)
    return;
  if (job.Terms.Pool.empty())
    job.Terms = termsOf(*queue);
  job.Terms.Pool = queue->Pool;
  job.Terms.PoolReplaced = true;
}

void updateTerms(Ledger &ledger) {
  std::set<core::PoolId> pools;
  for (const auto &pool : ledger.Config.Pools)
    pools.insert(pool.Id);
  for (auto &[id, job] : ledger.Jobs)
    if (job.isOpen() && !pools.contains(job.Terms.Pool))
      replacePool(ledger.Config, job);
}

void on(Ledger &ledger, const JobAccepted &event) {
  if (ledger.Jobs.contains(event.Id))
    return;
  JobRecord job;
  job.Id = event.Id;
  job.Queue = event.Queue;
  job.Team = event.Team;
  job.Spec = event.Spec;
  job.AcceptedWallMs = event.WallMs;
  job.Epoch = event.Epoch;
  job.Call = event.Call;
  const int64_t n = event.Spec.occurrences() * tasksPerOccurrence(event.Spec);
  job.Tasks.resize(n);
  job.Remaining = n;
  job.Terms = event.Terms;
  if (!findPool(ledger.Config, job.Terms.Pool))
    replacePool(ledger.Config, job);
  ledger.Jobs.emplace(event.Id, std::move(job));
}

void on(Ledger &ledger, const JobCancelled &event) {
  const auto it = ledger.Jobs.find(event.Id);
  if (it == ledger.Jobs.end() || !it->second.isOpen())
    return;
  it->second.Cancelled = true;
  it->second.EndedWallMs = event.WallMs;
  it->second.UnansweredStarts.clear();
}

// The range of tasks that end together with a task: a gang ends as a whole, so
// the end of one member covers all of them.
std::pair<size_t, size_t> tasksEndingWith(const JobRecord &job, size_t at) {
  const TaskRef task = taskAt(job.Id, *job.Spec, at);
  const StepSpec &step = job.Spec->Steps[task.Step];
  if (!step.Gang)
    return {at, at + 1};
  const size_t first = at - size_t(task.Index);
  return {first, first + size_t(step.Count)};
}

void recordDone(JobRecord &job, const TaskEnded &event) {
  const auto [first, last] = tasksEndingWith(job, event.Task);
  for (size_t i = first; i < last; ++i) {
    job.Remaining -= job.Tasks[i].Done ? 0 : 1;
    job.Tasks[i].Done = true;
    job.UnansweredStarts.erase(i);
  }
  if (job.Remaining == 0)
    job.EndedWallMs = event.WallMs;
}

void recordFailure(JobRecord &job, const TaskEnded &event) {
  TaskProgress &task = job.Tasks[tasksEndingWith(job, event.Task).first];
  // After a change of leader the same end may be reported again.
  if (task.Done || event.Run <= task.LastFailedRun)
    return;
  task.LastFailedRun = event.Run;
  ++task.Failures;
  const bool may_retry =
      job.Terms.Pool.empty() || task.Failures < job.Terms.MaxAttempts;
  if (may_retry)
    return;
  job.Failed = true;
  job.EndedWallMs = event.WallMs;
  job.UnansweredStarts.clear();
}

void on(Ledger &ledger, const TaskEnded &event) {
  const auto it = ledger.Jobs.find(event.Job);
  const bool open = it != ledger.Jobs.end() && it->second.isOpen() &&
                    event.Task < it->second.Tasks.size();
  if (!open)
    return;
  if (event.Done)
    recordDone(it->second, event);
  else
    recordFailure(it->second, event);
}

void on(Ledger &ledger, const StartUnanswered &event) {
  const auto it = ledger.Jobs.find(event.Job);
  const bool waits = it != ledger.Jobs.end() && it->second.isOpen() &&
                     event.Task < it->second.Tasks.size() &&
                     !it->second.Tasks[event.Task].Done;
  if (!waits)
    return;
  auto &starts = it->second.UnansweredStarts;
  auto &at = starts[event.Task];
  if (event.Over)
    at.erase(event.Endpoint);
  else
    at.insert(event.Endpoint);
  if (at.empty())
    starts.erase(event.Task);
}

void on(Ledger &ledger, const ConfigRevised &event) {
  updateTerms(ledger);
  applyRevision(ledger.Config, event.Revision);
  updateTerms(ledger);
}

void on(Ledger &ledger, const ConfigReplaced &event) {
  if (event.Config.Version <= ledger.Config.Version)
    return;
  updateTerms(ledger);
  ledger.Config = event.Config;
  updateTerms(ledger);
}

// The writer may not have known of a newer incarnation whose record was not
// durable yet.
void on(Ledger &ledger, const EndpointRegistered &event) {
  if (!isSuperseded(ledger, event.Facts.Id, event.Facts.BornMs))
    ledger.Endpoints.insert_or_assign(event.Facts.Id, event.Facts);
}

void on(Ledger &ledger, const EndpointGone &event) {
  int64_t &last = ledger.Gone[event.Id];
  last = std::max(last, event.BornMs);
  const auto it = ledger.Endpoints.find(event.Id);
  if (it != ledger.Endpoints.end() && it->second.BornMs <= event.BornMs)
    ledger.Endpoints.erase(it);
}

void on(Ledger &ledger, const EndpointIdled &event) {
  const auto it = ledger.Endpoints.find(event.Id);
  if (it != ledger.Endpoints.end() && it->second.BornMs == event.BornMs)
    it->second.Idle = true;
}

// A snapshot of an earlier version has no terms.
void on(Ledger &ledger, const EpochBegun &) {
  ++ledger.Epoch;
  updateTerms(ledger);
}

void on(Ledger &ledger, const WaveStarted &event) {
  ledger.Waves.emplace(event.Wave.Number, event.Wave);
}

void on(Ledger &ledger, const MaintenanceBegun &event) {
  const auto it = ledger.Waves.find(event.Wave);
  if (it != ledger.Waves.end())
    it->second.Begun.insert_or_assign(event.Vm, event.Ends);
}

void on(Ledger &ledger, const MaintenanceFinished &event) {
  const auto it = ledger.Waves.find(event.Wave);
  if (it != ledger.Waves.end())
    it->second.Finished.insert(event.Vm);
}

void on(Ledger &ledger, const JobsExpired &event) {
  std::erase_if(ledger.Jobs, [&](const auto &row) {
    return !row.second.isOpen() &&
           row.second.EndedWallMs < event.EndedBeforeWallMs;
  });
}

void on(Ledger &ledger, const VmOrdered &event) {
  ledger.VmsOrdered.insert(event.Vm);
  if (!event.To.empty())
    ledger.MoveTargets.insert_or_assign(event.Vm, event.To);
}

void on(Ledger &ledger, const VmOrdersLapsed &event) {
  for (const auto &vm : event.Vms) {
    ledger.VmsOrdered.erase(vm);
    ledger.MoveTargets.erase(vm);
  }
}

void on(Ledger &ledger, const ZoneEvacuated &event) {
  if (event.Base != ledger.EvacuationRevision)
    return;
  ++ledger.EvacuationRevision;
  ledger.Evacuations.insert_or_assign(
      event.Zone, EvacuationRecord{event.By, event.Reason, event.WallMs});
}

void on(Ledger &ledger, const EvacuationWithdrawn &event) {
  if (event.Base != ledger.EvacuationRevision)
    return;
  ++ledger.EvacuationRevision;
  ledger.Evacuations.erase(event.Zone);
}

} // namespace

void apply(Ledger &ledger, const Event &event) {
  std::visit([&](const auto &e) { on(ledger, e); }, event);
}

bool isGone(const Ledger &ledger, const EndpointId &id, int64_t born_ms) {
  const auto it = ledger.Gone.find(id);
  return it != ledger.Gone.end() && born_ms <= it->second;
}

bool isSuperseded(const Ledger &ledger, const EndpointId &id, int64_t born_ms) {
  const auto it = ledger.Endpoints.find(id);
  return isGone(ledger, id, born_ms) ||
         (it != ledger.Endpoints.end() && born_ms < it->second.BornMs);
}

const JobRecord *findJob(const Ledger &ledger, const JobId &id) {
  const auto it = ledger.Jobs.find(id);
  return it == ledger.Jobs.end() ? nullptr : &it->second;
}

} // namespace almondgate::jobs
