#include "almondgate/dispatch/dispatcher.hpp"

#include "dispatch_errors.hpp"
#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::Error;
using core::ErrorCode;
using jobs::EndpointFacts;

namespace {

// Replies to the caller once the requested change is durable.
std::function<void(bool)> replyWhenDurable(const Dispatcher::OnStatus &done) {
  return [done](bool durable) {
    done(durable ? core::ok() : core::Status(outcomeUnknown()));
  };
}

} // namespace

// --- endpoints

void Dispatcher::onEndpointRegistered(const EndpointFacts &facts) {
  if (jobs::isSuperseded(Ledger, facts.Id, facts.BornMs))
    return;
  const auto it = Endpoints.find(facts.Id);
  if (it != Endpoints.end() && it->second.Facts.BornMs == facts.BornMs) {
    // The record may be older than a drain, or than a loss, that is known here.
    const bool drains = facts.Draining || it->second.Facts.Draining;
    unlink(it->second);
    it->second.Facts = facts;
    it->second.Facts.Draining = drains;
    link(it->second);
    return;
  }
  Ended.erase(facts.Id);
  // A new incarnation of the endpoint: the runs of the old one ended with it.
  std::set<TaskKey> open;
  EndpointView view;
  view.Lease = LeaseClock(Terms);
  if (it != Endpoints.end()) {
    closeLeaseCalls(it->second);
    open = takeUnresolvedStarts(it->second);
    Hooks.Log("endpoint " + facts.Id.str() + " incarnation " +
              std::to_string(facts.BornMs) + " follows incarnation " +
              std::to_string(it->second.Facts.BornMs) + " (" +
              it->second.Lease.describe(Hooks.Now()) + "); " +
              std::to_string(open.size()) + " runs may be in progress there");
    // Calls for former incarnations, of earlier leaders as well, may have given
    // the new one runs and a lease until they were given up, or later.
    view.LastLeaseCall = std::max(it->second.LastLeaseCall, LeadingSince);
    view.LastUnansweredCall = it->second.LastUnansweredCall;
    view.UnansweredFence = it->second.UnansweredFence;
    view.LastUnanswered = it->second.LastUnanswered;
    view.Lease.assumeRunsUntil(Terms.latestExpiry(view.LastLeaseCall));
    releaseLostRuns(it->second, "incarnation " + std::to_string(facts.BornMs) +
                                    " has registered");
    unlink(it->second);
    Endpoints.erase(it);
  }
  view.Facts = facts;
  const auto pending = PendingRegistrations.find(facts.Id);
  if (pending != PendingRegistrations.end() &&
      pending->second.Facts.BornMs == facts.BornMs) {
    view.HeartbeatSequence = pending->second.Sequence;
    view.LastHeard = Hooks.Now();
  }
  view.Fence = Fences.next();
  view.DeclaredLost = facts.Idle;
  view.MayHoldEarlierRuns = EarlierEndpoints.contains(facts.Id);
  // A pending order for the VM may end this incarnation as well.
  view.Reserved = view.TerminationPending = hasUnresolvedVmOrder(facts);
  for (const auto &task_key : open) {
    addRun(view, task_key, *findStep(task_key));
    if (findTaskState(task_key)->Phase == TaskPhase::Stopping)
      view.StopRetries.insert(task_key);
  }
  link(Endpoints.emplace(facts.Id, std::move(view)).first->second);
}

void Dispatcher::link(EndpointView &endpoint) {
  Pools.add(endpoint);
  Agenda.add(endpoint);
  EndpointsByVm[endpoint.Facts.Vm].emplace(endpoint.Facts.Id, &endpoint);
  LargestVm = core::larger(LargestVm, endpoint.Facts.Capacity);
}

void Dispatcher::unlink(EndpointView &endpoint) {
  Pools.remove(endpoint);
  Agenda.remove(endpoint);
  const auto on_vm = EndpointsByVm.find(endpoint.Facts.Vm);
  on_vm->second.erase(endpoint.Facts.Id);
  if (on_vm->second.empty())
    EndpointsByVm.erase(on_vm);
}

std::vector<EndpointView *>
Dispatcher::endpointsOf(const core::VmId &vm) const {
  std::vector<EndpointView *> out;
  const auto it = EndpointsByVm.find(vm);
  if (it != EndpointsByVm.end())
    for (const auto &[id, endpoint] : it->second)
      out.push_back(endpoint);
  return out;
}

void Dispatcher::recordUnresolvedStarts(EndpointView &endpoint) {
  for (const auto &task_key : endpoint.Runs) {
    const TaskState &state = *findTaskState(task_key);
    if (!state.mayStillStart())
      continue;
    const auto *record = jobs::findJob(Ledger, task_key.first);
    const auto task =
        jobs::taskAt(task_key.first, *record->Spec, task_key.second);
    endpoint.UnresolvedStarts.emplace(EndpointView::RunKey{task, state.Run},
                                      core::TimeMs{INT64_MIN / 2});
  }
}

// Orders name only the endpoint's id, not its incarnation, and may be carried
// out seconds after they were sent. The inventory of the next incarnation shows
// whether they were; a stop is sent to it again.
std::set<Dispatcher::TaskKey>
Dispatcher::takeUnresolvedStarts(EndpointView &old_incarnation) {
  std::set<TaskKey> open;
  for (const auto &task_key : old_incarnation.Runs) {
    TaskState &state = *findTaskState(task_key);
    if (!state.mayRunInNextIncarnation())
      continue;
    const bool outstanding = state.Phase == TaskPhase::Ordered;
    if (outstanding)
      addLateStart(task_key, old_incarnation.Facts.Id);
    holdUnlistedRun(task_key, old_incarnation.Facts.Id);
    if (state.Phase != TaskPhase::Stopping)
      setPhase(task_key, TaskPhase::Unanswered);
    state.StopAcknowledged = false;
    state.Confirmed = false;
    state.Listed = false;
    state.Since = Hooks.Now() + (outstanding ? EndpointView::MaxOrderTime
                                             : core::DurationMs{0});
    open.insert(task_key);
  }
  for (const auto &task_key : open)
    removeRun(old_incarnation, task_key, *findStep(task_key));
  Pools.update(old_incarnation);
  return open;
}

void Dispatcher::onEndpointIdled(const jobs::EndpointIdled &event) {
  const auto it = Endpoints.find(event.Id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != event.BornMs)
    return;
  it->second.Facts.Idle = true;
  Pools.update(it->second);
  recordUnresolvedStarts(it->second);
  for (const auto &task_key : it->second.Runs)
    holdUnlistedRun(task_key, event.Id);
  releaseLostRuns(it->second, "declared lost");
}

void Dispatcher::onEndpointGone(const jobs::EndpointId &id, int64_t born_ms) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs > born_ms)
    return;
  keepLeaseCalls(it->second);
  releaseLostRuns(it->second,
                  "incarnation " + std::to_string(born_ms) + " has ended");
  unlink(it->second);
  Endpoints.erase(it);
}

const EndpointFacts *
Dispatcher::findNewestFacts(const jobs::EndpointId &id) const {
  const auto pending = PendingRegistrations.find(id);
  if (pending != PendingRegistrations.end())
    return &pending->second.Facts;
  const auto it = Endpoints.find(id);
  return it == Endpoints.end() ? nullptr : &it->second.Facts;
}

void Dispatcher::recordRegistration(const EndpointFacts &facts,
                                    int64_t sequence,
                                    std::function<void(bool)> done) {
  const auto *newest = findNewestFacts(facts.Id);
  if (newest && facts.BornMs < newest->BornMs) {
    afterRecorded(std::move(done));
    return;
  }
  const uint64_t number = ++LastRegistration;
  PendingRegistrations.insert_or_assign(
      facts.Id, PendingRegistration{number, facts, sequence});
  recordEvent(jobs::EndpointRegistered{facts},
              [this, id = facts.Id, number, generation = Generation,
               done = std::move(done)](bool durable) {
                const auto it = PendingRegistrations.find(id);
                if (generation == Generation &&
                    it != PendingRegistrations.end() &&
                    it->second.Number == number)
                  PendingRegistrations.erase(it);
                done(durable);
              });
}

// Heartbeats also come from other writers. Those must not end or redirect an
// endpoint: an incarnation keeps its address, VM and pool, and a new one
// belongs to a pool of the configuration. Endpoints that don't report their
// birth can't be told apart by incarnation.
bool Dispatcher::isPlausible(const EndpointFacts &facts) const {
  const auto *known = findNewestFacts(facts.Id);
  const bool same_pool =
      known && known->BornMs == facts.BornMs && known->Pool == facts.Pool;
  if (known && known->BornMs == facts.BornMs && facts.BornMs != 0)
    return same_pool && known->Vm == facts.Vm && known->At == facts.At;
  return same_pool || jobs::findPool(Ledger.Config, facts.Pool);
}

void Dispatcher::handleHeartbeat(const EndpointFacts &facts, int64_t sequence,
                                 const OnStatus &done) {
  if (!isActive()) {
    done(notLeading());
    return;
  }
  if (jobs::isGone(Ledger, facts.Id, facts.BornMs)) {
    Hooks.Log("heartbeat of endpoint " + facts.Id.str() +
              " ignored: incarnation " + std::to_string(facts.BornMs) +
              " has ended");
    done(core::ok());
    return;
  }
  if (!isPlausible(facts)) {
    Hooks.Log("heartbeat of endpoint " + facts.Id.str() + " ignored: pool " +
              facts.Pool.str() + " is not configured, or the address, VM or " +
              "pool is not that of incarnation " +
              std::to_string(facts.BornMs));
    done(core::ok());
    return;
  }
  // The record of a newer incarnation, or of a newer heartbeat of this one, may
  // not be durable yet.
  const auto pending = PendingRegistrations.find(facts.Id);
  if (pending != PendingRegistrations.end() &&
      (facts.BornMs < pending->second.Facts.BornMs ||
       (facts.BornMs == pending->second.Facts.BornMs &&
        sequence <= pending->second.Sequence))) {
    afterRecorded(replyWhenDurable(done));
    return;
  }
  const auto it = Endpoints.find(facts.Id);
  if (it != Endpoints.end() && it->second.isNewer(facts.BornMs, sequence))
    it->second.LastHeard = Hooks.Now();
  if (it != Endpoints.end() && facts == it->second.Facts) {
    it->second.HeartbeatSequence =
        std::max(it->second.HeartbeatSequence, sequence);
    done(core::ok());
    return;
  }
  EndpointFacts next = facts;
  if (it != Endpoints.end()) {
    EndpointView &known = it->second;
    if (!known.isNewer(facts.BornMs, sequence)) {
      done(core::ok());
      return;
    }
    if (facts.BornMs == known.Facts.BornMs) {
      known.HeartbeatSequence = sequence;
      next.Draining = next.Draining || known.Facts.Draining;
      next.Idle = known.DeclaredLost;
      // A heartbeat of another writer must not take the endpoint out of a zone
      // under evacuation.
      if (facts.BornMs != 0 && !known.Facts.Zone.empty())
        next.Zone = known.Facts.Zone;
      if (next == known.Facts) {
        done(core::ok());
        return;
      }
      // Takes effect before it is durable, so that no order is sent after the
      // drain is known.
      known.Facts.Draining = next.Draining;
      Pools.update(known);
    }
  }
  // Only one incarnation can run on a VM or listen at an address: older ones
  // with the same VM or address are gone.
  std::map<jobs::EndpointId, int64_t> replaced;
  for (const auto *other : Agenda.at(facts.At))
    replaced.emplace(other->Facts.Id, other->Facts.BornMs);
  if (!facts.Vm.empty())
    for (const auto *other : endpointsOf(facts.Vm))
      replaced.emplace(other->Facts.Id, other->Facts.BornMs);
  for (const auto &[id, born_ms] : replaced)
    if (id != facts.Id && findNewestFacts(id)->BornMs < facts.BornMs)
      recordEnded(id, born_ms);
  if (it != Endpoints.end() && facts.BornMs > it->second.Facts.BornMs)
    fenceSuccessor(it->second, next);
  Hooks.Log("endpoint " + facts.Id.str() + " at " + core::toString(facts.At) +
            " pool " + facts.Pool.str() + " vm " + facts.Vm.str() +
            (next.Draining ? " drains" : " registers"));
  recordRegistration(next, sequence, replyWhenDurable(done));
}

void Dispatcher::reportColdTime(const EndpointFacts &facts,
                                int64_t remaining_ms) {
  if (!isActive() || jobs::isGone(Ledger, facts.Id, facts.BornMs) ||
      !isPlausible(facts) ||
      !ColdStarts.report(facts, remaining_ms, Hooks.Now()))
    return;
  Hooks.Log("endpoint " + facts.Id.str() + " incarnation " +
            std::to_string(facts.BornMs) + " is cold for " +
            std::to_string(remaining_ms) + " ms");
  Hooks.IncrementCounter("cold_endpoints", "event", "reported");
}

// Keeps the next incarnation from carrying out late orders for this one as soon
// as it is heard of. Its registration is not durable yet.
void Dispatcher::fenceSuccessor(EndpointView &known,
                                const EndpointFacts &next) {
  known.Suspect = true;
  Pools.update(known);
  known.Fence = Fences.next();
  known.FenceUsed = false;
  RenewRequest request;
  request.Epoch = known.Fence;
  Hooks.Renew(next, request, makeLeaderCheck(), [](const RenewReply &) {});
}

void Dispatcher::handleLeave(const jobs::EndpointId &id, int64_t born_ms,
                             const OnStatus &done) {
  if (!isActive()) {
    done(notLeading());
    return;
  }
  const auto it = Endpoints.find(id);
  EndpointView *known = it == Endpoints.end() ? nullptr : &it->second;
  const int64_t ended_born_ms =
      born_ms == 0 && known ? known->Facts.BornMs : born_ms;
  // An endpoint drains before it shuts down.
  if (born_ms == 0 && known && !known->Facts.Draining) {
    Hooks.Log("endpoint " + id.str() + " incarnation " +
              std::to_string(ended_born_ms) +
              " goes on: it doesn't drain, a former one has shut down");
    done(core::ok());
    return;
  }
  if (known && known->Facts.BornMs == ended_born_ms &&
      (known->hasRuns() || known->isUnread())) {
    known->HasLeft = true;
    auto facts = known->Facts;
    facts.Draining = known->Facts.Draining = true;
    Pools.update(*known);
    Hooks.Log("endpoint " + id.str() + " incarnation " +
              std::to_string(ended_born_ms) + " shuts down with " +
              std::to_string(known->Runs.size()) +
              " runs, which count until its lease has expired");
    recordRegistration(facts, known->HeartbeatSequence, replyWhenDurable(done));
    return;
  }
  Hooks.Log("endpoint " + id.str() + " shuts down");
  recordEvent(jobs::EndpointGone{id, ended_born_ms}, replyWhenDurable(done));
}

// --- operators

void Dispatcher::configure(const jobs::FleetConfig &config,
                           const OnStatus &done) {
  if (!isActive()) {
    done(notLeading());
    return;
  }
  const std::string name = "configuration " + std::to_string(config.Version);
  if (config.Version <= Ledger.Config.Version) {
    const bool differs = config.Version == Ledger.Config.Version &&
                         config.Source != Ledger.Config.Source;
    Hooks.Log(name + " acknowledged without a change: version " +
              std::to_string(Ledger.Config.Version) + " is in force" +
              (differs ? " with other content" : ""));
    done(core::ok());
    return;
  }
  Hooks.Log(name + " received: " + std::to_string(config.Queues.size()) +
            " queues and " + std::to_string(config.Teams.size()) +
            " teams; version " + std::to_string(Ledger.Config.Version) +
            " is in force");
  Configs.add(config, [this, name, done](const core::Status &status) {
    Hooks.Log(name +
              (status ? " acknowledged: version "
                      : " has no known outcome: version ") +
              std::to_string(Ledger.Config.Version) + " is in force");
    done(status);
  });
  recordNextConfig();
}

void Dispatcher::recordNextConfig() {
  const auto config = Configs.takeNext();
  if (!config)
    return;
  recordEvent(makeConfigEvent(*config),
              [this, generation = Generation](bool durable) {
                if (generation != Generation)
                  return; // stopLeading() has dropped all changes.
                Configs.settle(durable, Ledger.Config.Version);
                recordNextConfig();
              });
}

// A revision applies only to the version that it was computed from. After a
// configuration whose recording failed and may still become durable, the next
// one is recorded whole.
jobs::Event Dispatcher::makeConfigEvent(const jobs::FleetConfig &config) {
  const bool up_to_date = RecordedConfigVersion <= Ledger.Config.Version;
  RecordedConfigVersion = std::max(RecordedConfigVersion, config.Version);
  const auto revision = up_to_date && Ledger.Config.Version > 0
                            ? jobs::diffConfigs(Ledger.Config, config)
                            : std::nullopt;
  if (revision)
    return jobs::ConfigRevised{*revision};
  return jobs::ConfigReplaced{config};
}

core::Result<jobs::FleetConfig> Dispatcher::config() const {
  if (!isActive())
    return notLeading();
  return Ledger.Config;
}

core::Result<std::string> Dispatcher::configSource() const {
  if (!isActive())
    return notLeading();
  return Ledger.Config.Source;
}

void Dispatcher::startWave(const jobs::WaveRecord &wave, const OnStatus &done) {
  if (!isActive()) {
    done(notLeading());
    return;
  }
  if (Ledger.Waves.contains(wave.Number)) {
    done(core::ok());
    return;
  }
  Hooks.Log("wave " + std::to_string(wave.Number) +
            " requested: " + std::to_string(wave.Vms.size()) +
            " VMs, at most " + std::to_string(wave.UpperLimit) +
            " at once, within " + std::to_string(wave.DurationMs) + " ms");
  recordEvent(jobs::WaveStarted{wave}, replyWhenDurable(done));
}

core::Result<bool> Dispatcher::isWaveCompleted(int64_t number) const {
  if (!isActive())
    return notLeading();
  const auto it = Ledger.Waves.find(number);
  if (it == Ledger.Waves.end())
    return Error{ErrorCode::NotFound, "unknown wave " + std::to_string(number)};
  return it->second.isCompleted();
}

} // namespace almondgate::dispatch
