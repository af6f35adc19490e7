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
    : Options(std::move(options)), Hooks(std::move(hooks)), Ledger(ledger),
      List({Hooks.Now, Hooks.ListVms, Hooks.Log}),
      VmOrders(Options.VmOrderLease,
               {Hooks.Now, Hooks.MayAct,
                [this](const VmOrder &order) { return mayEndAll(order); },
                [this](auto events, auto done) {
                  recordAll(std::move(events), std::move(done));
                },
                [this](const VmOrder &order, auto done) {
                  noteVmOrder(order);
                  Hooks.OrderVm(order, mayStillOrder(order), std::move(done));
                },
                Hooks.Log},
               ledger),
      Upkeep(Options, upkeepHooks(), ledger, List),
      Mover(Options, upkeepHooks(), List, Hooks.Policies.Moves) {}

// --- leadership

void Dispatcher::begin(uint64_t epoch) {
  Active = true;
  ++Generation;
  Epoch = epoch;
  Began = Hooks.Now();
  ExpiryDue = Began + ExpiryInterval;
  DemandLogDue = Began;
  // A restored ledger may hold the indexed version at another place.
  Index = jobs::ConfigIndex(Ledger.Config);
  for (const auto &[id, facts] : Ledger.Endpoints)
    onRegistered(facts);
  for (auto &[id, endpoint] : Endpoints)
    endpoint.Lease.assumeValidUntil(Began + Options.LongestLease);
  for (const auto &[id, record] : Ledger.Jobs)
    if (record.isOpen())
      openJob(record, true);
  Hooks.Log("epoch " + std::to_string(epoch) + " begins with " +
            std::to_string(Open.size()) + " open jobs and " +
            std::to_string(Endpoints.size()) + " endpoints to read");
  NewFleet = Endpoints.empty();
  ConfigRecorded = Ledger.Config.Version;
  VmOrders.begin();
  Upkeep.begin(epoch);
  Mover.begin(epoch);
  wake();
}

void Dispatcher::end() {
  if (!Active)
    return;
  Active = false;
  ++Generation;
  VmOrders.end();
  Upkeep.end();
  Mover.end();
  List.clear();
  Arrivals.clear();
  Trends.clear();
  Open.clear();
  Endpoints.clear();
  TeamUsed.clear();
  TeamUnseen.clear();
  Returns.clear();
  Outbox.clear();
  Recording = false;
  Woken = false;
  for (const auto &done : std::exchange(RecordingDone, {}))
    done(false);
  for (const auto &done : std::exchange(OutboxDone, {}))
    done(false);
  for (const auto &[id, submission] : std::exchange(Submissions, {}))
    for (const auto &done : submission.Waiting)
      done(outcomeUnknown());
  Hooks.Log("epoch " + std::to_string(Epoch) + " ends here");
}

void Dispatcher::tick() {
  if (!active())
    return;
  const auto now = Hooks.Now();
  for (auto &[id, endpoint] : Endpoints)
    if (!endpoint.Renewing && now >= endpoint.RenewDue)
      renew(endpoint);
  for (auto &[id, endpoint] : Endpoints)
    onUnreachable(endpoint);
  retryStops();
  if (knowsFleet()) {
    Upkeep.run([this](const core::VmId &vm) { return Mover.isMoving(vm); });
    balancePools();
  }
  VmOrders.recordExpiredLeases();
  expireJobs();
  wake();
}

const jobs::ConfigIndex &Dispatcher::index() const {
  if (Index.version() != Ledger.Config.Version)
    Index = jobs::ConfigIndex(Ledger.Config);
  return Index;
}

// --- durable events

void Dispatcher::record(jobs::Event event, std::function<void(bool)> done) {
  Outbox.push_back(std::move(event));
  if (done)
    OutboxDone.push_back(std::move(done));
  wake();
}

void Dispatcher::afterRecorded(std::function<void(bool)> done) {
  if (!Outbox.empty())
    OutboxDone.push_back(std::move(done));
  else if (Recording)
    RecordingDone.push_back(std::move(done));
  else
    done(true);
}

void Dispatcher::recordAll(std::vector<jobs::Event> events,
                           std::function<void(bool)> done) {
  for (auto &event : events)
    record(std::move(event));
  afterRecorded(std::move(done));
}

// One batch is under way at a time; what comes meanwhile forms the next.
void Dispatcher::flush() {
  if (Recording || Outbox.empty())
    return;
  Recording = true;
  RecordingDone = std::exchange(OutboxDone, {});
  Hooks.Record(
      std::exchange(Outbox, {}),
      [this, began = Hooks.Now(), generation = Generation](bool durable) {
        if (generation != Generation)
          return;
        Hooks.Time("commit", (Hooks.Now() - began).Count);
        Recording = false;
        for (const auto &done : std::exchange(RecordingDone, {}))
          done(durable);
        wake();
      });
}

void Dispatcher::wake() {
  if (std::exchange(Woken, true))
    return;
  const auto now = Hooks.Now();
  const auto wait = std::max(DurationMs{0}, LastPass + Options.PassPause - now);
  Hooks.After(wait, [this, generation = Generation] {
    if (generation != Generation)
      return;
    Woken = false;
    if (!active())
      return;
    LastPass = Hooks.Now();
    place();
    flush();
  });
}

void Dispatcher::applied(const jobs::Event &event) {
  if (!Active)
    return;
  if (const auto *accepted = std::get_if<jobs::JobAccepted>(&event))
    onAccepted(*accepted);
  else if (const auto *cancelled = std::get_if<jobs::JobCancelled>(&event))
    onCancelled(cancelled->Id);
  else if (const auto *ended = std::get_if<jobs::TaskEnded>(&event))
    onTaskEnded(*ended);
  else if (const auto *seen = std::get_if<jobs::EndpointRegistered>(&event))
    onRegistered(seen->Facts);
  else if (const auto *idled = std::get_if<jobs::EndpointIdled>(&event))
    onIdled(*idled);
  else if (const auto *gone = std::get_if<jobs::EndpointGone>(&event))
    onGone(gone->Id, gone->BornMs);
  wake();
}

// --- jobs

policy::ExpectStep Dispatcher::expecting(const core::QueueId &queue) const {
  const auto it = Durations.find(queue);
  return [model = it == Durations.end() || !Hooks.Policies.LearnRunTimes
                      ? nullptr
                      : &it->second](const jobs::StepSpec &step) {
    return model ? model->expect(step.EstimateMs) : step.EstimateMs;
  };
}

void Dispatcher::openJob(const JobRecord &record, bool inherited) {
  if (Open.contains(record.Id))
    return;
  const auto now = Hooks.Now();
  OpenJob job;
  job.Record = &record;
  const auto *queue = index().queue(record.Queue);
  if (queue)
    job.Pool = queue->Pool;
  const int64_t age =
      std::max<int64_t>(0, Hooks.WallClock() - record.AcceptedWallMs);
  job.SentAt =
      inherited ? now - DurationMs{age} : Returns.firstSent(record.Id, now);
  Returns.forget(record.Id);
  job.Inherited = inherited;
  job.Tasks.resize(record.Tasks.size());
  for (size_t i = 0; i < record.Tasks.size(); ++i) {
    job.Started = job.Started || record.Tasks[i].Done;
    if (record.Tasks[i].Done)
      job.Tasks[i].Phase = TaskPhase::Done;
  }
  const DurationMs chain{
      policy::longestChainMs(*record.Spec, expecting(record.Queue))};
  const int64_t target = queue ? queue->TargetMs : 0;
  const double stretch = queue ? queue->Stretch : 1;
  job.Due =
      job.SentAt + DurationMs{int64_t(stretch * double(chain.Count)) + target};
  Open.emplace(record.Id, std::move(job));
}

void Dispatcher::onAccepted(const jobs::JobAccepted &event) {
  const auto *record = jobs::findJob(Ledger, event.Id);
  for (const auto &step : event.Spec.Steps)
    if (!step.LongRunning)
      Durations[event.Queue].noteEstimate(step.EstimateMs);
  if (record && record->isOpen()) {
    openJob(*record, false);
    if (const int64_t work = policy::workOf(event.Spec, expecting(event.Queue));
        work > 0)
      noteArrival(Open.at(event.Id).Pool, work);
  }
  const auto it = Submissions.find(event.Id);
  if (it == Submissions.end())
    return;
  const auto waiting = std::move(it->second.Waiting);
  Submissions.erase(it);
  for (const auto &done : waiting)
    done(jobs::JobReply{.Outcome = jobs::JobOutcome::Done});
}

void Dispatcher::onCancelled(const jobs::JobId &id) {
  const auto it = Open.find(id);
  if (it == Open.end())
    return;
  for (size_t i = 0; i < it->second.Tasks.size(); ++i)
    if (it->second.Tasks[i].isPlaced())
      stop({id, i}, "cancelled");
  closeIfEmpty(id);
}

void Dispatcher::onTaskEnded(const jobs::TaskEnded &event) {
  const auto it = Open.find(event.Job);
  const auto *record = jobs::findJob(Ledger, event.Job);
  if (it == Open.end() || !record)
    return;
  for (size_t i = 0; i < it->second.Tasks.size(); ++i) {
    TaskSlot &slot = it->second.Tasks[i];
    const bool finished = record->Tasks[i].Done || !record->isOpen();
    if (finished && slot.isPlaced())
      stop({event.Job, i}, "ended");
    else if (record->Tasks[i].Done)
      slot.Phase = TaskPhase::Done;
    else if (slot.Phase == TaskPhase::Ending && i == event.Task)
      slot.Phase = TaskPhase::Waiting;
  }
  closeIfEmpty(event.Job);
}

void Dispatcher::closeIfEmpty(const jobs::JobId &id) {
  const auto it = Open.find(id);
  const auto *record = jobs::findJob(Ledger, id);
  if (it == Open.end() || (record && record->isOpen()))
    return;
  if (it->second.Placed == 0)
    Open.erase(it);
}

void Dispatcher::expireJobs() {
  const auto now = Hooks.Now();
  if (now < ExpiryDue)
    return;
  ExpiryDue = now + ExpiryInterval;
  const int64_t before = Hooks.WallClock() - Options.JobMemory.Count;
  const bool any =
      std::any_of(Ledger.Jobs.begin(), Ledger.Jobs.end(), [&](const auto &row) {
        return !row.second.isOpen() && row.second.EndedWallMs < before;
      });
  if (any)
    record(jobs::JobsExpired{before});
}

} // namespace almondgate::dispatch
