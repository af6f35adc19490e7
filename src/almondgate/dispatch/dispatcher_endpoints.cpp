#include "almondgate/dispatch/dispatcher.hpp"

#include "dispatch_errors.hpp"
#include "need.hpp"

namespace almondgate::dispatch {

using core::Error;
using core::ErrorCode;
using jobs::EndpointFacts;

namespace {

// Tells the caller once what it asked for is durable.
std::function<void(bool)> tellDurable(const Dispatcher::OnStatus &done) {
  return [done](bool durable) {
    done(durable ? core::ok() : core::Status(outcomeUnknown()));
  };
}

} // namespace

// --- endpoints

void Dispatcher::onRegistered(const EndpointFacts &facts) {
  if (jobs::isGone(Ledger, facts.Id, facts.BornMs))
    return;
  const auto it = Endpoints.find(facts.Id);
  if (it != Endpoints.end() && it->second.Facts.BornMs == facts.BornMs) {
    it->second.Facts = facts;
    it->second.IdleTold = facts.Idle;
    return;
  }
  // A new life of the id: what the old one ran ended with it.
  std::set<TaskPlace> open;
  if (it != Endpoints.end()) {
    open = takeOpenOrders(it->second);
    loseRuns(it->second);
    Endpoints.erase(it);
  }
  EndpointView view;
  view.Facts = facts;
  view.IdleTold = facts.Idle;
  // An order that was given for the VM may end this life as well.
  view.Reserved = view.Doomed = isOrderOpen(facts);
  for (const auto &place : open)
    addRun(view, place, *stepOf(place));
  Endpoints.emplace(facts.Id, std::move(view));
}

void Dispatcher::noteOpenOrders(EndpointView &endpoint) {
  for (const auto &place : endpoint.Runs) {
    const TaskSlot &slot = *slotOf(place);
    if (!slot.mayStillStart())
      continue;
    const auto *record = jobs::findJob(Ledger, place.first);
    const auto task = jobs::taskAt(place.first, *record->Spec, place.second);
    endpoint.OpenOrders.emplace(EndpointView::StrayKey{task, slot.Run},
                                core::TimeMs{INT64_MIN / 2});
  }
}

// Orders name the id alone, and may be carried out seconds after they were
// sent: the next life's inventory decides about them.
std::set<Dispatcher::TaskPlace>
Dispatcher::takeOpenOrders(EndpointView &old_life) {
  std::set<TaskPlace> open;
  for (const auto &place : old_life.Runs) {
    TaskSlot &slot = *slotOf(place);
    if (slot.Phase != TaskPhase::Ordered && slot.Phase != TaskPhase::Unanswered)
      continue;
    slot.Phase = TaskPhase::Unanswered;
    slot.Since = Hooks.Now();
    open.insert(place);
  }
  for (const auto &place : open)
    dropRun(old_life, place, *stepOf(place));
  return open;
}

void Dispatcher::onIdled(const jobs::EndpointIdled &event) {
  const auto it = Endpoints.find(event.Id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != event.BornMs)
    return;
  it->second.Facts.Idle = true;
  noteOpenOrders(it->second);
  loseRuns(it->second);
}

void Dispatcher::onGone(const jobs::EndpointId &id, int64_t born_ms) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs > born_ms)
    return;
  loseRuns(it->second);
  Endpoints.erase(it);
}

void Dispatcher::heartbeat(const EndpointFacts &facts, int64_t sequence,
                           const OnStatus &done) {
  if (!active()) {
    done(notLeading());
    return;
  }
  if (jobs::isGone(Ledger, facts.Id, facts.BornMs)) {
    Hooks.Log("heartbeat of " + facts.Id.str() + ", which is gone: ignored");
    done(core::ok());
    return;
  }
  EndpointFacts next = facts;
  const auto it = Endpoints.find(facts.Id);
  if (it != Endpoints.end()) {
    EndpointView &known = it->second;
    const bool older = facts.BornMs < known.Facts.BornMs ||
                       (facts.BornMs == known.Facts.BornMs &&
                        sequence <= known.HeartbeatSequence);
    if (older) {
      done(core::ok());
      return;
    }
    if (facts.BornMs == known.Facts.BornMs) {
      known.HeartbeatSequence = sequence;
      next.Draining = next.Draining || known.Facts.Draining;
      next.Idle = known.Facts.Idle;
      if (next == known.Facts) {
        done(core::ok());
        return;
      }
      // Takes effect before it is durable: no order follows a known drain.
      known.Facts.Draining = next.Draining;
    }
  }
  // A VM, and an address, has one life at a time.
  for (const auto &[id, other] : Endpoints) {
    const bool same_place = (!facts.Vm.empty() && other.Facts.Vm == facts.Vm) ||
                            other.Facts.At == facts.At;
    if (id != facts.Id && same_place && other.Facts.BornMs < facts.BornMs)
      record(jobs::EndpointGone{id, other.Facts.BornMs});
  }
  Hooks.Log("endpoint " + facts.Id.str() + " at " + core::toString(facts.At) +
            " pool " + facts.Pool.str() + " vm " + facts.Vm.str() +
            (next.Draining ? " drains" : " registers"));
  record(jobs::EndpointRegistered{next}, tellDurable(done));
}

void Dispatcher::leave(const jobs::EndpointId &id, int64_t born_ms,
                       const OnStatus &done) {
  if (!active()) {
    done(notLeading());
    return;
  }
  const auto it = Endpoints.find(id);
  const int64_t born =
      born_ms == 0 && it != Endpoints.end() ? it->second.Facts.BornMs : born_ms;
  Hooks.Log("endpoint " + id.str() + " leaves");
  record(jobs::EndpointGone{id, born}, tellDurable(done));
}

// --- operators

void Dispatcher::configure(const jobs::FleetConfig &config,
                           const OnStatus &done) {
  if (!active()) {
    done(notLeading());
    return;
  }
  if (config.Version <= Ledger.Config.Version) {
    done(core::ok());
    return;
  }
  Hooks.Log("configuration " + std::to_string(config.Version) + " with " +
            std::to_string(config.Queues.size()) + " queues and " +
            std::to_string(config.Teams.size()) + " teams");
  record(configEvent(config), [this, version = config.Version,
                               generation = Generation, done](bool durable) {
    const bool held =
        durable && generation == Generation && Ledger.Config.Version >= version;
    done(held ? core::ok() : core::Status(outcomeUnknown()));
  });
}

// A revision fits the version that the ledger has when it is applied: with
// another configuration still on its way this one is recorded whole.
jobs::Event Dispatcher::configEvent(const jobs::FleetConfig &config) {
  const bool settled = ConfigRecorded <= Ledger.Config.Version;
  ConfigRecorded = std::max(ConfigRecorded, config.Version);
  const auto revision = settled && Ledger.Config.Version > 0
                            ? jobs::diffConfigs(Ledger.Config, config)
                            : std::nullopt;
  if (revision)
    return jobs::ConfigRevised{*revision};
  return jobs::ConfigReplaced{config};
}

core::Result<jobs::FleetConfig> Dispatcher::config() const {
  if (!active())
    return notLeading();
  return Ledger.Config;
}

core::Result<std::string> Dispatcher::configSource() const {
  if (!active())
    return notLeading();
  return Ledger.Config.Source;
}

void Dispatcher::startWave(const jobs::WaveRecord &wave, const OnStatus &done) {
  if (!active()) {
    done(notLeading());
    return;
  }
  if (Ledger.Waves.contains(wave.Number)) {
    done(core::ok());
    return;
  }
  Hooks.Log("wave " + std::to_string(wave.Number) + " of " +
            std::to_string(wave.Vms.size()) + " VMs, at most " +
            std::to_string(wave.UpperLimit) + " at once, in " +
            std::to_string(wave.DurationMs) + " ms");
  record(jobs::WaveStarted{wave}, tellDurable(done));
}

core::Result<bool> Dispatcher::isWaveCompleted(int64_t number) const {
  if (!active())
    return notLeading();
  const auto it = Ledger.Waves.find(number);
  if (it == Ledger.Waves.end())
    return Error{ErrorCode::NotFound, "no wave " + std::to_string(number)};
  return it->second.isCompleted();
}

} // namespace almondgate::dispatch
