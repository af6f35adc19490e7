#include "almondgate/dispatch/dispatcher.hpp"
#include "almondgate/jobs/job_limits.hpp"

#include "dispatch_errors.hpp"
#include "ready_step.hpp"
#include "run_accounting.hpp"
#include "step_candidates.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::Error;
using core::ErrorCode;
using jobs::Explanation;
using jobs::StepExplanation;

core::Result<Explanation>
Dispatcher::explain(const jobs::ExplainRequest &request) {
  if (!isActive())
    return notLeading();
  Explanation out;
  if (!request.Job.empty()) {
    OpenJob *job = findOpenJob(request.Job);
    if (!job)
      return Error{ErrorCode::NotFound, "no open job " + request.Job.str()};
    out.Accepted = true;
    out.Reason = "accepted before";
    explainSteps(*job, out);
    return out;
  }
  const auto *queue = jobs::findQueue(Ledger.Config, request.Queue);
  if (!queue)
    return Error{ErrorCode::NotFound, "unknown queue " + request.Queue.str()};
  if (!request.Team.empty() && !index().team(request.Team))
    return Error{ErrorCode::NotFound, "unknown team " + request.Team.str()};
  if (auto valid = jobs::checkJob(request.Spec); !valid)
    return valid.error();
  updateLoads();
  const auto verdict = decideAdmission(
      *queue, admissionInput(request.Spec, *queue, Hooks.Now()));
  out.Accepted = verdict.Accept;
  out.RetryAfterMs = verdict.RetryAfterMs;
  out.Reason = verdict.Reason;
  // A job as it would be right after its acceptance, which nothing else refers
  // to.
  jobs::JobRecord record;
  record.Queue = queue->Id;
  record.Team = request.Team;
  record.Spec = request.Spec;
  record.Terms = jobs::termsOf(*queue);
  record.Remaining =
      request.Spec.occurrences() * jobs::tasksPerOccurrence(request.Spec);
  record.Tasks.resize(size_t(record.Remaining));
  OpenJob job;
  job.Record = &record;
  job.Tasks.resize(record.Tasks.size());
  explainSteps(job, out);
  return out;
}

void Dispatcher::explainSteps(OpenJob &job, Explanation &out) {
  const auto &spec = *job.Record->Spec;
  out.Pool = job.pool();
  size_t first = 0;
  for (int64_t s = 0; s < int64_t(spec.Steps.size()); ++s) {
    const auto &step = spec.Steps[size_t(s)];
    ReadyStep ready;
    ready.Job = &job;
    ready.Record = job.Record;
    ready.Step = s;
    ready.First = first;
    ready.Spec = &step;
    out.Steps.push_back(explainStep(ready));
    first += size_t(step.Count);
  }
}

StepExplanation Dispatcher::explainStep(const ReadyStep &ready) {
  const jobs::StepSpec &step = *ready.Spec;
  const auto from = ready.Job->Tasks.begin() + int64_t(ready.First);
  StepExplanation out;
  out.Step = ready.Step;
  out.Waiting =
      std::count_if(from, from + step.Count, [](const TaskState &state) {
        return state.Phase == TaskPhase::Waiting;
      });
  if (const auto *members = Pools.members(ready.Job->pool()))
    for (const auto &[id, endpoint] : *members)
      if (const char *why = reasonToPassOver(*endpoint, step))
        ++out.PassedOver[why];
  if (!jobs::isStepReady(*ready.Record, 0, ready.Step)) {
    out.WaitReason = "steps that it depends on have not ended";
    return out;
  }
  if (ready.Record->Terms.NeedsTicket &&
      !ready.Job->findTickets(ready.Occurrence, ready.Step)) {
    out.WaitReason = "the placement policy has not granted tickets yet";
    return out;
  }
  auto candidates =
      candidatesFor(ready, Pools.usable(ready.Job->pool(), Hooks.Now()));
  core::Size started;
  while (out.Waiting > 0) {
    started = started + step.Need;
    if (!isWithinLimit(ready.Record->Team, started)) {
      out.WaitReason = "the team is at its limit";
      break;
    }
    const auto *at = candidates.allocate(Hooks.Policies.ChooseEndpoint);
    if (!at) {
      out.WaitReason = "no endpoint has room";
      break;
    }
    ++out.Starts[at->Facts.Id];
    out.Remote += hasLabel(*at, step.Affinity.str()) ? 0 : 1;
    --out.Waiting;
  }
  // The members of a gang start together or not at all.
  if (step.Gang && out.Waiting > 0) {
    out.Waiting = step.Count;
    out.Remote = 0;
    out.Starts.clear();
  }
  return out;
}

const char *Dispatcher::reasonToPassOver(const EndpointView &endpoint,
                                         const jobs::StepSpec &step) const {
  if (isEvacuated(endpoint))
    return "zone under evacuation";
  if (endpoint.Facts.Draining)
    return "draining";
  if (endpoint.Facts.Idle || endpoint.DeclaredLost)
    return "lost";
  if (endpoint.Suspect)
    return "not responding";
  if (!endpoint.InventoryRead || !endpoint.Lease.isClockKnown())
    return "not read yet";
  if (endpoint.Reserved)
    return "reserved for maintenance or a move";
  if (endpoint.BackOffUntil > Hooks.Now())
    return "refused a start a moment ago";
  if (!hasLabel(endpoint, step.Label))
    return "without the label";
  if (!core::fits(requiredCapacity(step),
                  endpoint.Facts.Capacity - endpoint.Used))
    return "without room";
  if (endpoint.Cold && !step.LongRunning &&
      !core::fits(requiredCapacity(step), freeCapacity(endpoint)))
    return "cold, without room until it has warmed up";
  return nullptr;
}

} // namespace almondgate::dispatch
