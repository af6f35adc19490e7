#include "almondgate/dispatch/dispatcher.hpp"
#include "almondgate/jobs/job_limits.hpp"
#include "almondgate/policy/job_timing.hpp"

#include "dispatch_errors.hpp"
#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using jobs::JobCall;
using jobs::JobOutcome;
using jobs::JobReply;
using jobs::JobState;
using jobs::JobVerb;

namespace {

constexpr size_t JobIdDigits = 16;
constexpr int64_t ShortRetryAfterMs = 300;
// For a pool whose zones are all under evacuation.
constexpr int64_t EvacuatedRetryAfterMs = 3000;

bool isJobId(const std::string &text) {
  return text.size() == JobIdDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Describes each step, such as "24 tasks of 8200 millicores 61000 MB, at most 2
// per VM".
std::string describeSteps(const jobs::JobSpec &spec) {
  std::string out;
  for (const auto &step : spec.Steps) {
    out += (out.empty() ? "" : "; ") + std::to_string(step.Count) +
           " tasks of " + std::to_string(step.Need.MilliCpus) + " millicores " +
           std::to_string(step.Need.MemoryMb) + " MB";
    if (step.AntiAffinity > 0)
      out += ", at most " + std::to_string(step.AntiAffinity) + " per VM";
    if (step.HasMayMiss)
      out += ", " + std::to_string(step.MayMiss) + " may be unavailable";
  }
  return out;
}

// The work of one task of a step, in millicores times milliseconds, that makes
// others wait: long-running tasks have VMs of their own, fill work gives way.
int64_t taskLoad(const jobs::StepSpec &step,
                 const policy::PredictStep &expect) {
  const bool counts = !step.LongRunning && !step.Fills;
  return counts ? step.Need.MilliCpus * expect(step) : 0;
}

std::string lastSegment(const std::string &path) {
  return path.substr(path.rfind('/') + 1);
}

} // namespace

void Dispatcher::handleCall(const JobCall &call, const OnReply &done) {
  if (!isActive()) {
    done(notLeading());
    return;
  }
  if (Ledger.Config.Version == 0) {
    done(JobReply{.Outcome = JobOutcome::Refused,
                  .RetryAfterMs = ShortRetryAfterMs,
                  .Text = "the fleet has no configuration yet"});
    return;
  }
  if (isAcceptedCall(call)) {
    handleResubmission(jobs::JobId(lastSegment(call.Path)), done);
    return;
  }
  const auto *queue = index().queueAt(call.Host, call.Path);
  if (!queue) {
    done(JobReply{.Outcome = JobOutcome::NoQueue});
    return;
  }
  if (!queue->Open && !index().teamOfKey(call.Key)) {
    done(JobReply{.Outcome = JobOutcome::UnknownKey});
    return;
  }
  const std::string rest = call.Path.substr(queue->PathPrefix.size());
  if (call.Verb == JobVerb::Query && rest.empty()) {
    done(JobReply{.Outcome = JobOutcome::Count,
                  .Pending = countPendingJobs(queue->Id)});
    return;
  }
  if (!isJobId(rest)) {
    done(JobReply{.Outcome = call.Verb == JobVerb::Submit ? JobOutcome::Invalid
                                                          : JobOutcome::NoJob,
                  .Text = "a job id must have 16 hexadecimal digits"});
    return;
  }
  const jobs::JobId id(rest);
  switch (call.Verb) {
  case JobVerb::Submit:
    submit(call, *queue, id, done);
    return;
  case JobVerb::Cancel:
    cancel(id, done);
    return;
  default:
    done(queryJob(id));
  }
}

// A retry of an accepted call is answered even if its API key or queue has been
// withdrawn since.
bool Dispatcher::isAcceptedCall(const JobCall &call) const {
  if (call.Verb != JobVerb::Submit || call.Call.empty())
    return false;
  const jobs::JobId id(lastSegment(call.Path));
  if (const auto *record = jobs::findJob(Ledger, id))
    return record->Call == call.Call;
  const auto pending = Submissions.find(id);
  return pending != Submissions.end() && pending->second.Call == call.Call;
}

void Dispatcher::handleResubmission(const jobs::JobId &id,
                                    const OnReply &done) {
  const auto pending = Submissions.find(id);
  if (pending != Submissions.end())
    pending->second.Callbacks.push_back(done);
  else
    done(JobReply{.Outcome = JobOutcome::Done});
}

void Dispatcher::submit(const JobCall &call, const jobs::QueueSpec &queue,
                        const jobs::JobId &id, const OnReply &done) {
  if (jobs::findJob(Ledger, id) || Submissions.contains(id)) {
    handleResubmission(id, done);
    return;
  }
  if (!call.SpecError.empty()) {
    done(JobReply{.Outcome = JobOutcome::Invalid, .Text = call.SpecError});
    return;
  }
  if (auto valid = jobs::checkJob(call.Spec); !valid) {
    done(JobReply{.Outcome = JobOutcome::Invalid, .Text = valid.error().Text});
    return;
  }
  const auto now = Hooks.Now();
  if (Resubmissions.wasRefused(id, call.Call)) {
    // This is an earlier try of a call whose later try was served first and
    // refused. The caller has received that refusal, so the job must not be
    // accepted now.
    Hooks.Log("job " + id.str() + " refused: call " + call.Call +
              " has been refused before");
    done(JobReply{.Outcome = JobOutcome::Refused,
                  .RetryAfterMs = ShortRetryAfterMs,
                  .Text = "this call has been refused before"});
    return;
  }
  if (const auto overload = Hooks.Policies.Overload(PassDelay.standing(now));
      !overload.Accept) {
    refuseJob(call, id, queue, overload, done);
    return;
  }
  if (const auto room = JobBytes.admit(); !room.Accept) {
    refuseJob(call, id, queue, room, done);
    return;
  }
  const auto sent = Resubmissions.firstSentAt(id, now);
  updateLoads();
  const auto input = admissionInput(call.Spec, queue, sent);
  const auto verdict = decideAdmission(queue, input);
  if (!verdict.Accept) {
    refuseJob(call, id, queue, verdict, done);
    return;
  }
  const auto *team = index().teamOfKey(call.Key);
  Hooks.Log("job " + id.str() + " queue " + queue.Id.str() + " team " +
            (team ? team->Id.str() : "-") + " accepted: " + verdict.Reason +
            "; " + describeSteps(call.Spec));
  Hooks.IncrementCounter("jobs", "door", "accepted");
  ++Admissions[queue.Pool].Accepted;
  Submissions[id] = {call.Call,
                     {done},
                     queue.Pool,
                     now + core::DurationMs{input.DueInMs},
                     initialLoadOf(call.Spec, queue.Id)};
  JobBytes.add(id, call.Spec);
  recordEvent(jobs::JobAccepted{id, queue.Id, team ? team->Id : core::TeamId(),
                                call.Spec,
                                Hooks.WallClock() - (now - sent).Count, Epoch,
                                call.Call, jobs::termsOf(queue)});
}

// A refused job counts as demand too, because its caller will submit it again.
void Dispatcher::refuseJob(const JobCall &call, const jobs::JobId &id,
                           const jobs::QueueSpec &queue,
                           const policy::JobAdmissionDecision &verdict,
                           const OnReply &done) {
  Hooks.IncrementCounter("jobs", "door", "refused");
  ++Admissions[queue.Pool].Refused;
  if (Hooks.Policies.TrackResubmissions)
    Resubmissions.recordRefusal(id, call.Call, Hooks.Now());
  recordArrival(queue.Pool,
                policy::workOf(call.Spec, runTimeEstimator(queue.Id)));
  Hooks.Log("job " + id.str() + " queue " + queue.Id.str() +
            " refused: " + verdict.Reason + ", retry after " +
            std::to_string(verdict.RetryAfterMs) + " ms");
  done(JobReply{.Outcome = JobOutcome::Refused,
                .RetryAfterMs = verdict.RetryAfterMs,
                .Text = verdict.Reason});
}

// Returns the work that the job's pool still has to do for it, without
// long-running and fill work.
policy::JobDemand Dispatcher::remainingLoadOf(const OpenJob &job) const {
  policy::JobDemand load;
  load.DueInMs = (job.Due - Hooks.Now()).Count;
  const auto expect = runTimeEstimator(job.Record->Queue);
  const auto &steps = job.Record->Spec->Steps;
  for (size_t s = 0; s < steps.size(); ++s) {
    const auto &step = steps[s];
    if (!fitsAnyVm(step))
      continue;
    const int64_t work = taskLoad(step, expect);
    const StepTasks &tasks = job.Steps[s];
    // On average, a run is half done.
    load.ReadyWork += tasks.Placed * (work / 2);
    (tasks.Ready ? load.ReadyWork : load.LaterWork) += tasks.Waiting * work;
  }
  return load;
}

// The same for a job of which nothing has been started.
policy::JobDemand Dispatcher::initialLoadOf(const jobs::JobSpec &spec,
                                            const core::QueueId &queue) const {
  policy::JobDemand load;
  const auto expect = runTimeEstimator(queue);
  for (const auto &step : spec.Steps)
    if (fitsAnyVm(step))
      (step.After.empty() ? load.ReadyWork : load.LaterWork) +=
          step.Count * taskLoad(step, expect);
  return load;
}

bool Dispatcher::fitsAnyVm(const jobs::StepSpec &step) const {
  return LargestVm.MilliCpus == 0 ||
         core::fits(requiredCapacity(step), LargestVm);
}

policy::JobAdmissionInput
Dispatcher::admissionInput(const jobs::JobSpec &spec,
                           const jobs::QueueSpec &queue,
                           core::TimeMs sent) const {
  policy::JobAdmissionInput input;
  input.CapacityMilliCpus = Pools.servingMilliCpus(queue.Pool);
  if (const auto *load = Loads.find(queue.Pool))
    for (const auto &[id, job] : load->Open)
      input.OpenJobs.push_back(remainingLoadOf(*job));
  // Right after a change of leader, many jobs arrive within one commit.
  for (const auto &[id, submission] : Submissions) {
    if (submission.Pool != queue.Pool)
      continue;
    input.OpenJobs.push_back(submission.Demand);
    input.OpenJobs.back().DueInMs = (submission.Due - Hooks.Now()).Count;
  }
  // VMs that are moving to the pool, and spare VMs that could be moved to it,
  // are available within the duration of a move.
  input.IncomingMilliCpus =
      (Mover.incoming(queue.Pool) + Mover.spare()) * LargestVm.MilliCpus;
  input.IncomingInMs = Options.MoveDuration.Count;
  const auto expect = runTimeEstimator(queue.Id);
  input.Work = policy::workOf(spec, expect);
  for (const auto &step : spec.Steps)
    if (step.After.empty() && !step.LongRunning) {
      input.FirstStepWork += step.Count * step.Need.MilliCpus * expect(step);
      input.FirstStepMs = std::max(input.FirstStepMs, expect(step));
    }
  const int64_t chain = policy::longestChainMs(spec, expect);
  const int64_t waited = (Hooks.Now() - sent).Count;
  input.DueInMs =
      int64_t(double(chain) * queue.Stretch) + queue.TargetMs - waited;
  input.SlackMs = input.DueInMs - chain;
  input.LongRunning = policy::hasLongRunning(spec);
  return input;
}

policy::JobAdmissionDecision
Dispatcher::decideAdmission(const jobs::QueueSpec &queue,
                            const policy::JobAdmissionInput &input) const {
  if (isPoolEvacuated(queue.Pool))
    return {false, EvacuatedRetryAfterMs,
            "all VMs of the pool are in zones under evacuation"};
  return Hooks.Policies.Admission(input);
}

JobReply Dispatcher::queryJob(const jobs::JobId &id) const {
  const auto *record = jobs::findJob(Ledger, id);
  if (!record)
    return JobReply{.Outcome = JobOutcome::NoJob};
  JobReply reply{.Outcome = JobOutcome::State};
  const auto open = OpenJobs.find(id);
  if (record->Remaining == 0)
    reply.State = JobState::Completed;
  else if (record->Failed)
    reply.State = JobState::Failed;
  else if (record->Cancelled)
    reply.State = JobState::Cancelled;
  else if (open != OpenJobs.end() && open->second.Started)
    reply.State = JobState::Running;
  return reply;
}

void Dispatcher::cancel(const jobs::JobId &id, const OnReply &done) {
  const auto *record = jobs::findJob(Ledger, id);
  const auto reply = [done](bool durable) {
    if (durable)
      done(JobReply{.Outcome = JobOutcome::Done});
    else
      done(outcomeUnknown());
  };
  if (!record && Submissions.contains(id)) {
    // Accepted, but not durable yet: the cancellation is recorded after the
    // acceptance and applied in that order.
    this->recordEvent(jobs::JobCancelled{id, Hooks.WallClock()}, reply);
    return;
  }
  if (!record) {
    done(JobReply{.Outcome = JobOutcome::NoJob});
    return;
  }
  if (!record->isOpen()) {
    done(JobReply{.Outcome = JobOutcome::Done});
    return;
  }
  Hooks.Log("job " + id.str() + " cancelled by a caller");
  this->recordEvent(jobs::JobCancelled{id, Hooks.WallClock()}, reply);
}

int64_t Dispatcher::countPendingJobs(const core::QueueId &queue) const {
  return std::count_if(OpenJobs.begin(), OpenJobs.end(), [&](const auto &row) {
    const auto *record = row.second.Record;
    return record->isOpen() && record->Queue == queue && !row.second.Started;
  });
}

} // namespace almondgate::dispatch
