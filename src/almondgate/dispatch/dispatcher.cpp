#include "almondgate/dispatch/dispatcher.hpp"
#include "almondgate/policy/job_timing.hpp"

#include "dispatch_errors.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using jobs::JobRecord;

namespace {

constexpr DurationMs ExpiryInterval{10000};

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options, DispatcherHooks hooks,
                       const jobs::Ledger &ledger)
    : Options(std::move(options)), Hooks(std::move(hooks)),
      Ledger(ledger), Terms{Options.MaxLease, Options.RunStopTimeout},
      Pools([this](const EndpointView &at) { return isAvailable(at); },
            [this](const EndpointView &at) { return acceptsStarts(at); }),
      NearPlaces(Options.RemoteFactor, nearWaitHooks()),
      ColdStarts(Hooks.Policies.ColdStart),
      JobBytes(Options.JobsLimitBytes, ledger),
      Vms({Hooks.Now, Hooks.ListVms, Hooks.Log}),
      VmOrders(Options.VmOrderLease,
               {Hooks.Now, Hooks.MayAct,
                [this](const VmOrder &order) { return mayCarryOut(order); },
                [this](auto events, auto done) {
                  recordEvents(std::move(events), std::move(done));
                },
                [this](const VmOrder &order, auto done) {
                  reportVmOrder(order);
                  Hooks.OrderVm(order, makeSendCheck(order), std::move(done));
                },
                Hooks.Log},
               ledger),
      Maintenance(Options, maintenanceHooks(), ledger, Vms),
      Mover(Options, maintenanceHooks(), Vms, Hooks.Policies.PlanMoves) {}

// --- leadership

void Dispatcher::startLeading(uint64_t epoch) {
  Active = true;
  ++Generation;
  Epoch = epoch;
  LeadingSince = Hooks.Now();
  ExpiryDue = LeadingSince + ExpiryInterval;
  DemandLogDue = LeadingSince;
  EvacuationLogDue = MoveOutDue = LeadingSince;
  EvacuationConfirmations = 0;
  // After a restore, the ledger may hold the indexed version at another
  // address.
  Index = jobs::ConfigIndex(Ledger.Config);
  JobBytes.recount();
  VmOrders.begin();
  Fences.begin(epoch);
  for (const auto &[id, facts] : Ledger.Endpoints)
    EarlierEndpoints.insert(id);
  for (const auto &[id, facts] : Ledger.Endpoints)
    onEndpointRegistered(facts);
  for (auto &[id, endpoint] : Endpoints)
    endpoint.Lease.assumeRunsUntil(Terms.latestExpiry(LeadingSince));
  for (const auto &[id, record] : Ledger.Jobs)
    if (record.isOpen())
      openJob(record, true);
  Hooks.Log("epoch " + std::to_string(epoch) + ": leading, with " +
            std::to_string(OpenJobs.size()) + " open jobs and " +
            std::to_string(Endpoints.size()) + " endpoints to read");
  FleetWasEmpty = Endpoints.empty();
  RecordedConfigVersion = LoadsVersion = Ledger.Config.Version;
  Maintenance.begin(epoch);
  Mover.begin(epoch);
  schedulePass();
}

void Dispatcher::stopLeading() {
  if (!Active)
    return;
  Active = false;
  ++Generation;
  VmOrders.end();
  Maintenance.end();
  Mover.end();
  Vms.clear();
  Arrivals.clear();
  DemandHistory.clear();
  Admissions.clear();
  Loads.clear();
  OpenJobs.clear();
  OpenJobsById.clear();
  Pools.clear();
  NearGroups.clear();
  Agenda.clear();
  ColdStarts.clear();
  Endpoints.clear();
  EarlierEndpoints.clear();
  EndpointsByVm.clear();
  WaitingRenewals = 0;
  AdviceWaiting.clear();
  OpenAdviceCalls = 0;
  TeamUsage.clear();
  OrphanCounts.clear();
  TeamUnreadUsage.clear();
  Resubmissions.clear();
  Outbox.clear();
  Recording = false;
  PassScheduled = false;
  PassDelay.clear();
  HandingOver = false;
  EvacuationPending = false;
  OnHandOver = {};
  RecordedStarts.clear();
  Ended.clear();
  PendingRegistrations.clear();
  for (const auto &done : std::exchange(RecordingCallbacks, {}))
    done(false);
  for (const auto &done : std::exchange(OutboxCallbacks, {}))
    done(false);
  Configs.clear();
  for (const auto &[id, submission] : std::exchange(Submissions, {}))
    for (const auto &done : submission.Callbacks)
      done(outcomeUnknown());
  JobBytes.recount();
  Hooks.Log("epoch " + std::to_string(Epoch) + ": no longer leading");
}

void Dispatcher::tick() {
  if (!isActive())
    return;
  const auto now = Hooks.Now();
  for (auto *endpoint : Agenda.dueRenewals(now))
    renew(*endpoint);
  // A copy: releasing the runs of an endpoint updates the list.
  const auto suspects = Pools.suspects();
  for (const auto &[id, endpoint] : suspects)
    declareLostIfExpired(*endpoint);
  expireEarlierRuns();
  retryStops();
  releaseInheritedMoves();
  if (isFleetRead()) {
    Maintenance.run(
        [this](const core::VmId &vm) { return Mover.isMoving(vm); });
    balancePools();
    moveOutOfEvacuatedZones();
  }
  logEvacuations();
  VmOrders.recordExpiredLeases();
  expireJobs();
  expireLateStarts();
  schedulePass();
  handOverIfReady();
}

const jobs::ConfigIndex &Dispatcher::index() const {
  if (Index.version() != Ledger.Config.Version)
    Index = jobs::ConfigIndex(Ledger.Config);
  return Index;
}

std::vector<std::string> Dispatcher::checkSums() {
  updateLoads();
  auto out = Pools.check(Hooks.Now());
  for (const auto &others : {Loads.check(OpenJobs), Agenda.check(Endpoints)})
    out.insert(out.end(), others.begin(), others.end());
  return out;
}

// --- durable events

void Dispatcher::recordEvent(jobs::Event event,
                             std::function<void(bool)> done) {
  Outbox.push_back(std::move(event));
  if (done)
    OutboxCallbacks.push_back(std::move(done));
  schedulePass();
}

void Dispatcher::afterRecorded(std::function<void(bool)> done) {
  if (!Outbox.empty())
    OutboxCallbacks.push_back(std::move(done));
  else if (Recording)
    RecordingCallbacks.push_back(std::move(done));
  else
    done(true);
}

void Dispatcher::recordEvents(std::vector<jobs::Event> events,
                              std::function<void(bool)> done) {
  for (auto &event : events)
    recordEvent(std::move(event));
  afterRecorded(std::move(done));
}

// Only one batch is being made durable at a time; events recorded meanwhile
// form the next batch.
void Dispatcher::flush() {
  if (Recording || Outbox.empty())
    return;
  Recording = true;
  RecordingCallbacks = std::exchange(OutboxCallbacks, {});
  Hooks.Record(
      std::exchange(Outbox, {}),
      [this, began = Hooks.Now(), generation = Generation](bool durable) {
        if (generation != Generation)
          return;
        Hooks.RecordDuration("commit", (Hooks.Now() - began).Count);
        Recording = false;
        for (const auto &done : std::exchange(RecordingCallbacks, {}))
          done(durable);
        schedulePass();
      });
}

void Dispatcher::schedulePass() {
  if (std::exchange(PassScheduled, true))
    return;
  const auto now = Hooks.Now();
  const auto wait =
      std::max(DurationMs{0}, LastPass + Options.PassInterval - now);
  Hooks.Defer(wait, [this, due = now + wait, generation = Generation] {
    if (generation != Generation)
      return;
    PassScheduled = false;
    if (!isActive())
      return;
    LastPass = Hooks.Now();
    PassDelay.record(due, LastPass);
    placeReadySteps();
    flush();
  });
}

void Dispatcher::onLedgerReplaced() { JobBytes.recount(); }

void Dispatcher::onEventApplied(const jobs::Event &event) {
  JobBytes.onEventApplied(event);
  if (!Active)
    return;
  if (const auto *accepted = std::get_if<jobs::JobAccepted>(&event))
    onJobAccepted(*accepted);
  else if (const auto *cancelled = std::get_if<jobs::JobCancelled>(&event))
    onJobCancelled(cancelled->Id);
  else if (const auto *ended = std::get_if<jobs::TaskEnded>(&event))
    onTaskEnded(*ended);
  else if (const auto *seen = std::get_if<jobs::EndpointRegistered>(&event))
    onEndpointRegistered(seen->Facts);
  else if (const auto *idled = std::get_if<jobs::EndpointIdled>(&event))
    onEndpointIdled(*idled);
  else if (const auto *gone = std::get_if<jobs::EndpointGone>(&event))
    onEndpointGone(gone->Id, gone->BornMs);
  else if (const auto *begun = std::get_if<jobs::ZoneEvacuated>(&event))
    onEvacuationChange("requested", begun->Zone, begun->By, begun->Reason,
                       begun->Base);
  else if (const auto *over = std::get_if<jobs::EvacuationWithdrawn>(&event))
    onEvacuationChange("withdrawn", over->Zone, over->By, over->Reason,
                       over->Base);
  schedulePass();
}

// --- jobs

policy::PredictStep
Dispatcher::runTimeEstimator(const core::QueueId &queue) const {
  const auto it = RunTimes.find(queue);
  return [model = it == RunTimes.end() || !Hooks.Policies.LearnRunTimes
                      ? nullptr
                      : &it->second](const jobs::StepSpec &step) {
    return model ? model->predict(step.EstimateMs) : step.EstimateMs;
  };
}

void Dispatcher::openJob(const JobRecord &record, bool inherited) {
  if (OpenJobs.contains(record.Id))
    return;
  const auto now = Hooks.Now();
  OpenJob job;
  job.Record = &record;
  job.Content = record.Spec->Content;
  const int64_t age =
      std::max<int64_t>(0, Hooks.WallClock() - record.AcceptedWallMs);
  job.SentAt = inherited ? now - DurationMs{age}
                         : Resubmissions.firstSentAt(record.Id, now);
  Resubmissions.forget(record.Id);
  job.Inherited = inherited;
  job.Tasks.resize(record.Tasks.size());
  for (size_t i = 0; i < record.Tasks.size(); ++i) {
    job.Started = job.Started || record.Tasks[i].Done;
    if (record.Tasks[i].Done)
      job.Tasks[i].Phase = TaskPhase::Done;
  }
  const DurationMs chain{
      policy::longestChainMs(*record.Spec, runTimeEstimator(record.Queue))};
  const auto &terms = record.Terms;
  job.Due =
      job.SentAt +
      DurationMs{int64_t(terms.Stretch * double(chain.Count)) + terms.TargetMs};
  inheritLateStarts(record, job);
  OpenJob &added = OpenJobs.emplace(record.Id, std::move(job)).first->second;
  OpenJobsById.emplace(record.Id, &added);
  Loads.add(added);
}

void Dispatcher::onJobAccepted(const jobs::JobAccepted &event) {
  const auto *record = jobs::findJob(Ledger, event.Id);
  for (const auto &step : event.Spec.Steps)
    if (!step.LongRunning)
      RunTimes[event.Queue].recordEstimate(step.EstimateMs);
  if (record && record->isOpen()) {
    openJob(*record, false);
    if (const int64_t work =
            policy::workOf(event.Spec, runTimeEstimator(event.Queue));
        work > 0)
      recordArrival(record->Terms.Pool, work);
  }
  const auto it = Submissions.find(event.Id);
  if (it == Submissions.end())
    return;
  const auto waiting = std::move(it->second.Callbacks);
  Submissions.erase(it);
  for (const auto &done : waiting)
    done(jobs::JobReply{.Outcome = jobs::JobOutcome::Done});
}

void Dispatcher::onJobCancelled(const jobs::JobId &id) {
  const auto it = OpenJobs.find(id);
  if (it == OpenJobs.end())
    return;
  for (size_t i = 0; i < it->second.Tasks.size(); ++i)
    if (it->second.Tasks[i].isPlaced())
      stopTask({id, i}, "cancelled");
  Loads.update(it->second);
  closeIfFinished(id);
}

void Dispatcher::onTaskEnded(const jobs::TaskEnded &event) {
  const auto it = OpenJobs.find(event.Job);
  const auto *record = jobs::findJob(Ledger, event.Job);
  if (it == OpenJobs.end() || !record)
    return;
  for (size_t i = 0; i < it->second.Tasks.size(); ++i) {
    const TaskState &state = it->second.Tasks[i];
    const bool finished = record->Tasks[i].Done || !record->isOpen();
    if (finished && state.isPlaced())
      stopTask({event.Job, i}, "ended");
    else if (record->Tasks[i].Done)
      Loads.setPhase(it->second, i, TaskPhase::Done);
    else if (state.Phase == TaskPhase::Ending && i == event.Task)
      Loads.setPhase(it->second, i, TaskPhase::Waiting);
  }
  Loads.update(it->second);
  closeIfFinished(event.Job);
}

void Dispatcher::closeIfFinished(const jobs::JobId &id) {
  const auto it = OpenJobs.find(id);
  const auto *record = jobs::findJob(Ledger, id);
  if (it == OpenJobs.end() || (record && record->isOpen()))
    return;
  if (it->second.Placed > 0)
    return;
  Loads.remove(it->second);
  forgetJob(id);
}

void Dispatcher::forgetJob(const jobs::JobId &id) {
  OpenJobsById.erase(id);
  OpenJobs.erase(id);
}

void Dispatcher::updateLoads() {
  if (std::exchange(LoadsVersion, Ledger.Config.Version) ==
      Ledger.Config.Version)
    return;
  for (auto &[id, job] : OpenJobs)
    Loads.update(job);
}

void Dispatcher::expireJobs() {
  const auto now = Hooks.Now();
  if (now < ExpiryDue)
    return;
  ExpiryDue = now + ExpiryInterval;
  const int64_t before = Hooks.WallClock() - Options.EndedJobRetention.Count;
  const bool any =
      std::any_of(Ledger.Jobs.begin(), Ledger.Jobs.end(), [&](const auto &row) {
        return !row.second.isOpen() && row.second.EndedWallMs < before;
      });
  if (any)
    recordEvent(jobs::JobsExpired{before});
}

} // namespace almondgate::dispatch
