#include "almondgate/control/control_core.hpp"
#include "almondgate/control/leader_plan.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/core/invariant.hpp"

#include "control_errors.hpp"

#include <algorithm>

namespace almondgate::control {

using consensus::EntryKind;
using consensus::LogEntry;
using core::DurationMs;
using core::Error;
using core::ErrorCode;

namespace {

constexpr DurationMs ExpiryInterval{10000};

Error outcomeUnknown() {
  return {ErrorCode::Unavailable,
          "leadership was lost; the change may have been accepted, or may be "
          "accepted later"};
}

// Digest of an operator's change without its time, so that a change that is
// sent again has the same digest.
std::string contentDigest(const ControlHooks &hooks,
                          const state::Change &change) {
  if (change.Operator.empty())
    return {};
  state::Change content = change;
  content.AtWallMs = 0;
  return core::sha256Hex(hooks.EncodeChange(content));
}

} // namespace

ControlCore::ControlCore(ControlOptions options,
                         consensus::NodeOptions node_options,
                         ControlHooks hooks, consensus::DurableState recovered)
    : Options(options), Hooks(std::move(hooks)),
      Node(std::move(node_options), Hooks.Node, std::move(recovered)) {
  if (Node.snapshot().Index > 0)
    restore(Node.snapshot());
  CompactedIndex = Node.snapshot().Index;
}

void ControlCore::receive(const consensus::Message &message) {
  Node.receive(message);
  runEffects();
}

void ControlCore::onPersisted() {
  Node.onPersisted();
  for (auto &message : std::exchange(AfterSync, {}))
    Hooks.Send(std::move(message));
  runEffects();
}

void ControlCore::tick() {
  Node.tick();
  runEffects();
  if (!Leading)
    return;
  const auto now = Hooks.Node.Now();
  answerWatches(false);
  if (now < PlanningDue)
    return;
  PlanningDue = now + Options.PlanningInterval;
  runPlanning();
  advanceReplacement();
  reconcileMembership();
  runEffects();
}

// --- consensus

void ControlCore::runEffects() {
  updateLeadership();
  while (true) {
    auto effects = Node.takeEffects();
    const bool idle = effects.Batch.empty() && effects.AfterSync.empty() &&
                      effects.Immediate.empty() && !effects.Restore &&
                      effects.Committed.empty();
    if (idle)
      break;
    for (auto &message : effects.Immediate)
      Hooks.Send(std::move(message));
    if (effects.Restore) {
      restore(*effects.Restore);
      if (Hooks.OnJobsReplaced)
        Hooks.OnJobsReplaced();
    }
    for (const auto &entry : effects.Committed)
      apply(entry);
    // AfterSync depends on this batch: it is sent once the batch is on disk.
    if (effects.Batch.empty()) {
      for (auto &message : effects.AfterSync)
        Hooks.Send(std::move(message));
    } else {
      AfterSync = std::move(effects.AfterSync);
      Hooks.Persist(std::move(effects.Batch));
    }
    compactIfDue();
  }
  updateLeadership();
  if (Leading)
    answerWatches(true);
}

void ControlCore::restore(const consensus::Snapshot &snapshot) {
  const auto decoded = Hooks.DecodeState(*snapshot.Data);
  core::invariant(bool(decoded), "snapshot data cannot be decoded");
  State = decoded.value();
  AppliedIndex = snapshot.Index;
  CompactedIndex = snapshot.Index;
  Updates.clear();
  DeltaBaseRevision = State.View.Revision;
  Hooks.Log("snapshot at index " + std::to_string(snapshot.Index) +
            " of term " + std::to_string(snapshot.Term) +
            " restored, configuration " +
            std::to_string(State.Jobs.Config.Version));
}

void ControlCore::apply(const LogEntry &entry) {
  AppliedIndex = entry.Index;
  const auto pending = takePending(entry);
  if (entry.Kind != EntryKind::Command)
    return;
  if (pending) {
    pending->Done(applyChange(pending->Change));
    return;
  }
  const auto change = Hooks.DecodeChange(entry.Data);
  core::invariant(bool(change),
                  "command of a committed log entry cannot be decoded");
  (void)applyChange(change.value());
}

std::optional<ControlCore::PendingChange>
ControlCore::takePending(const LogEntry &entry) {
  const auto it = Pending.find(entry.Index);
  if (it == Pending.end())
    return std::nullopt;
  auto pending = std::move(it->second);
  Pending.erase(it);
  if (pending.Term == entry.Term)
    return pending;
  pending.Done(outcomeUnknown());
  return std::nullopt;
}

state::ChangeResult ControlCore::applyChange(const state::Change &change) {
  auto applied =
      state::applyChange(State, change, contentDigest(Hooks, change));
  if (!change.Operator.empty())
    Hooks.Log("revision " + std::to_string(applied.Result.Revision) + " " +
              state::kindName(change.What) + " by " + change.Operator.str() +
              ", change " + std::to_string(change.Number) +
              (applied.Result.Accepted
                   ? " accepted"
                   : " refused: " + applied.Result.Refusal.Text));
  retainUpdates(std::move(applied.Updates));
  const auto *recorded = std::get_if<state::RecordJobs>(&change.What);
  if (recorded && Hooks.OnJobEvent)
    for (const auto &event : recorded->Events)
      Hooks.OnJobEvent(event);
  return applied.Result;
}

void ControlCore::retainUpdates(std::vector<model::Update> updates) {
  for (auto &update : updates)
    Updates.push_back(std::move(update));
  while (Updates.size() > Options.MaxRetainedUpdates) {
    DeltaBaseRevision = Updates.front().Revision;
    Updates.pop_front();
  }
}

void ControlCore::compactIfDue() {
  if (AppliedIndex - CompactedIndex < Options.EntriesPerSnapshot)
    return;
  CompactedIndex = AppliedIndex;
  Node.compact(AppliedIndex, Hooks.EncodeState(State));
}

// --- leadership

void ControlCore::updateLeadership() {
  const bool ready = Node.isReady();
  if (ready == Leading)
    return;
  if (!ready) {
    onLeadershipLost();
    return;
  }
  Leading = true;
  LeadingSince = Hooks.Node.Now();
  PlanningDue = LeadingSince;
  ExpiryDue = LeadingSince + ExpiryInterval;
  TransferringLeadership = false;
  Hooks.Log("became leader in term " + std::to_string(Node.term()) +
            " at commit index " + std::to_string(Node.commitIndex()) +
            ", revision " + std::to_string(State.View.Revision) +
            ", configuration " + std::to_string(State.Jobs.Config.Version));
  if (Hooks.OnLeadershipChange)
    Hooks.OnLeadershipChange(true);
}

void ControlCore::onLeadershipLost() {
  Leading = false;
  Sessions.clear();
  PortionReturns.clear();
  UnappliedProposals = 0;
  JoinRequests.clear();
  Hooks.Log("lost leadership; term " + std::to_string(Node.term()) +
            ", leader " +
            (Node.leader().empty() ? "unknown" : Node.leader().str()));
  if (Hooks.OnLeadershipChange)
    Hooks.OnLeadershipChange(false);
  for (const auto &waiting : std::exchange(Watches, {}))
    waiting.Done(notLeader());
  for (const auto &[index, pending] : std::exchange(Pending, {}))
    pending.Done(outcomeUnknown());
  finishReplacement(notLeader());
}

void ControlCore::stepDown() {
  if (!Node.transferLeadership())
    return;
  // The successor may become the leader before this member is notified.
  TransferringLeadership = true;
  runEffects();
}

bool ControlCore::holdsLease() const {
  return Leading && !TransferringLeadership &&
         Hooks.Node.Now() - Node.confirmedAt() < Options.LeaderLease;
}

// --- watches

void ControlCore::watch(const model::WatchRequest &request, OnWatch done) {
  if (!Leading) {
    done(notLeader());
    return;
  }
  const auto now = Hooks.Node.Now();
  Sessions.recordHeartbeat(request, now);
  Watches.push_back({request, std::move(done), now + Options.WatchTimeout});
  // A waiting demand or a stopping process is handled without delay.
  const bool urgent =
      request.Stopping ||
      std::any_of(request.Demands.begin(), request.Demands.end(),
                  [](const model::Demand &d) { return d.Waiting > 0; });
  if (urgent) {
    runPlanning();
    runEffects();
  }
  answerWatches(true);
}

bool ControlCore::hasPendingUpdates(const PendingWatch &waiting) const {
  if (waiting.Request.Revision < State.View.Revision)
    return true;
  return std::any_of(
      PortionReturns.begin(), PortionReturns.end(), [&](const auto &portion) {
        const auto *owner = model::find(State.View.Owners, portion.Pool);
        return owner && owner->Owner == waiting.Request.From.Id;
      });
}

void ControlCore::answerWatches(bool with_updates) {
  const auto now = Hooks.Node.Now();
  std::vector<PendingWatch> due;
  for (auto it = Watches.begin(); it != Watches.end();) {
    const bool answer =
        now >= it->Deadline || (with_updates && hasPendingUpdates(*it));
    if (!answer) {
      ++it;
      continue;
    }
    due.push_back(std::move(*it));
    it = Watches.erase(it);
  }
  for (const auto &waiting : due)
    answerWatch(waiting);
}

void ControlCore::answerWatch(const PendingWatch &waiting) {
  const auto &request = waiting.Request;
  const auto now = Hooks.Node.Now();
  Sessions.recordHeartbeat(request, now);
  model::WatchReply reply;
  reply.Revision = State.View.Revision;
  reply.ConfirmedAgeMs = (now - Node.confirmedAt()).Count;
  reply.Processes = Sessions.processes();
  // Revision 0 requests a snapshot. Deltas are possible only if the update that
  // follows the caller's revision is still held.
  reply.Snapshot = request.Revision == 0 ||
                   request.Revision < DeltaBaseRevision ||
                   request.Revision > State.View.Revision;
  if (reply.Snapshot) {
    reply.Updates = model::snapshotOf(State.View);
  } else {
    const auto from = std::partition_point(
        Updates.begin(), Updates.end(),
        [&](const model::Update &u) { return u.Revision <= request.Revision; });
    reply.Updates.assign(from, Updates.end());
  }
  for (const auto &portion : PortionReturns) {
    const auto *owner = model::find(State.View.Owners, portion.Pool);
    if (owner && owner->Owner == request.From.Id)
      reply.Returns.push_back(portion);
  }
  std::erase_if(PortionReturns, [&](const auto &portion) {
    return std::find(reply.Returns.begin(), reply.Returns.end(), portion) !=
           reply.Returns.end();
  });
  waiting.Done(std::move(reply));
}

// --- changes

void ControlCore::propose(const state::Change &change, const OnChange &done) {
  if (!Leading) {
    done(notLeader());
    return;
  }
  if (const auto appended = append(change, done); !appended) {
    done(appended.error());
    return;
  }
  runEffects();
}

core::Status ControlCore::append(const state::Change &change, OnChange done) {
  const auto index = Node.propose(Hooks.EncodeChange(change));
  if (!index)
    return index.error();
  Pending.emplace(index.value(),
                  PendingChange{Node.term(), change, std::move(done)});
  return core::ok();
}

void ControlCore::proposeInternal(const state::Command &command) {
  state::Change change;
  change.AtWallMs = Hooks.WallClock();
  change.What = command;
  const auto appended = append(change, [this](const auto &) {
    UnappliedProposals -= UnappliedProposals > 0 ? 1 : 0;
  });
  UnappliedProposals += appended ? 1 : 0;
}

void ControlCore::recordJobs(std::vector<jobs::Event> events,
                             std::function<void(bool)> done) {
  state::Change change;
  change.AtWallMs = Hooks.WallClock();
  change.What = state::RecordJobs{std::move(events)};
  propose(change, [done = std::move(done)](const auto &result) {
    done(result && result.value().Accepted);
  });
}

// --- planning

void ControlCore::runPlanning() {
  // Plan only from a state that includes all earlier decisions.
  if (!Leading || UnappliedProposals > 0)
    return;
  const auto now = Hooks.Node.Now();
  const DurationMs lease_timeout = Options.LeaseTtl + Options.LeaseMargin;
  Sessions.expire(now - lease_timeout);
  const auto &view = State.View;
  // Before every live process has had time to send a heartbeat, a missing
  // session does not mean that the process is gone.
  const bool sessions_complete = now - LeadingSince > lease_timeout;
  for (const auto &command : planPoolOwners(view, Sessions)) {
    const auto &assign = std::get<state::AssignPool>(command);
    const auto *owner = model::find(view.Owners, assign.Pool);
    const auto *session = owner ? Sessions.find(owner->Owner) : nullptr;
    if (!owner || sessions_complete || (session && session->Stopping))
      proposeInternal(command);
  }
  if (sessions_complete)
    for (const auto &command : planWaves(view, Sessions))
      proposeInternal(command);
  const uint64_t applied =
      oldestOwnerRevision(view, Sessions, sessions_complete);
  for (const auto &command : planMoveCompletions(view, applied))
    proposeInternal(command);
  const auto portions = planTeamPortions(view, Sessions, applied);
  PortionReturns = portions.Returns;
  for (const auto &command : portions.Commands)
    proposeInternal(command);
  if (now < ExpiryDue)
    return;
  ExpiryDue = now + ExpiryInterval;
  const int64_t before = Hooks.WallClock() - Options.IntentTtlMs;
  const bool any = std::any_of(
      State.Intents.begin(), State.Intents.end(),
      [&](const auto &row) { return row.second->AtWallMs < before; });
  if (any)
    proposeInternal(state::ExpireIntents{before});
}

core::Result<std::vector<std::string>>
ControlCore::waveHoldups(const core::WaveId &wave) const {
  if (!Leading)
    return notLeader();
  const auto *found = model::find(State.View.Waves, wave);
  if (!found)
    return Error{ErrorCode::NotFound, "wave '" + wave.str() + "' not found"};
  return policy::planWave(State.View, *found, Sessions.vmStatuses()).Blockers;
}

} // namespace almondgate::control
