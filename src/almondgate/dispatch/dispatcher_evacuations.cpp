#include "almondgate/dispatch/dispatcher.hpp"

#include "dispatch_errors.hpp"
#include "ready_step.hpp"
#include "run_accounting.hpp"
#include "step_candidates.hpp"

#include <algorithm>
#include <optional>

namespace almondgate::dispatch {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using jobs::EvacuationChange;

namespace {

constexpr DurationMs RemainingLogInterval{5000};
// A task that was moved takes longer to become ready.
constexpr DurationMs MoveOutInterval{200};
// A new leader reads the list of the VMs within this time, or the VM service
// does not answer.
constexpr DurationMs VmListGrace{3000};

Error outdatedBasis() {
  return {ErrorCode::Conflict,
          "the evacuations have changed since they were read"};
}

jobs::Event eventOf(const EvacuationChange &change, int64_t wall_ms) {
  const uint64_t base = change.Basis.Revision;
  if (change.Evacuate)
    return jobs::ZoneEvacuated{change.Zone, change.By, change.Reason, wall_ms,
                               base};
  return jobs::EvacuationWithdrawn{change.Zone, change.By, change.Reason,
                                   wall_ms, base};
}

} // namespace

// --- operators

jobs::EvacuationBasis Dispatcher::evacuationBasis() const {
  return {Ledger.EvacuationRevision, Epoch, EvacuationConfirmations};
}

// A change that is acknowledged without a record counts as a confirmation:
// otherwise an older call with the same basis, delayed on its way, could still
// undo it.
void Dispatcher::setEvacuation(const EvacuationChange &change,
                               const OnStatus &done) {
  if (!isActive()) {
    done(notLeading());
    return;
  }
  if (auto valid = jobs::checkEvacuation(change); !valid) {
    done(valid.error());
    return;
  }
  if (EvacuationPending) {
    // The other change may alter what this one is decided on.
    afterRecorded([done](bool) { done(outdatedBasis()); });
    return;
  }
  if (change.Basis != evacuationBasis()) {
    done(outdatedBasis());
    return;
  }
  if (Ledger.Evacuations.contains(change.Zone) == change.Evacuate) {
    ++EvacuationConfirmations;
    done(core::ok());
    return;
  }
  if (change.Evacuate && Ledger.Evacuations.size() >= jobs::MaxEvacuations) {
    done(Error{ErrorCode::NeverFits, "at most " +
                                         std::to_string(jobs::MaxEvacuations) +
                                         " zones may be under evacuation"});
    return;
  }
  EvacuationPending = true;
  recordEvent(eventOf(change, Hooks.WallClock()),
              [this, done, base = change.Basis.Revision,
               generation = Generation](bool durable) {
                const bool same = generation == Generation;
                EvacuationPending = EvacuationPending && !same;
                const bool applied =
                    durable && same && Ledger.EvacuationRevision == base + 1;
                done(applied ? core::ok() : core::Status(outcomeUnknown()));
              });
}

core::Result<jobs::EvacuationList> Dispatcher::evacuations() const {
  if (!isActive())
    return notLeading();
  return jobs::EvacuationList{evacuationBasis(), Ledger.Evacuations,
                              runsInEvacuatedZones()};
}

std::vector<jobs::EvacuatedEndpoint> Dispatcher::runsInEvacuatedZones() const {
  std::vector<jobs::EvacuatedEndpoint> out;
  if (Ledger.Evacuations.empty())
    return out;
  for (const auto &[id, endpoint] : Endpoints) {
    const auto runs =
        int64_t(endpoint.Runs.size() + endpoint.OrphanedRuns.size());
    if (runs > 0 && isEvacuated(endpoint))
      out.push_back({id, endpoint.Facts.Zone, runs - endpoint.LongRunningCount,
                     endpoint.LongRunningCount});
  }
  return out;
}

// An event with another base than the ledger's revision was ignored.
void Dispatcher::onEvacuationChange(const char *what, const core::ZoneId &zone,
                                    const std::string &by,
                                    const std::string &reason, uint64_t base) {
  // Sums of the pools hold available endpoints only.
  Pools.updateAll();
  if (Ledger.EvacuationRevision == base + 1)
    Hooks.Log("evacuation of zone " + zone.str() + " " + what + " by " + by +
              (reason.empty() ? "" : ": " + reason));
}

void Dispatcher::logEvacuations() {
  const auto now = Hooks.Now();
  if (Ledger.Evacuations.empty() || now < EvacuationLogDue)
    return;
  EvacuationLogDue = now + RemainingLogInterval;
  std::map<core::ZoneId, jobs::EvacuatedEndpoint> sums;
  std::map<core::ZoneId, int64_t> endpoints;
  for (const auto &row : runsInEvacuatedZones()) {
    sums[row.Zone].ShortRuns += row.ShortRuns;
    sums[row.Zone].LongRuns += row.LongRuns;
    ++endpoints[row.Zone];
  }
  for (const auto &[zone, sum] : sums)
    Hooks.Log("evacuation of zone " + zone.str() + ": " +
              std::to_string(sum.ShortRuns) + " short and " +
              std::to_string(sum.LongRuns) + " long-running runs remain at " +
              std::to_string(endpoints.at(zone)) + " endpoints");
}

// --- what is available

bool Dispatcher::isEvacuated(const EndpointView &endpoint) const {
  return !Ledger.Evacuations.empty() &&
         Ledger.Evacuations.contains(endpoint.Facts.Zone);
}

bool Dispatcher::isAvailable(const EndpointView &endpoint) const {
  return endpoint.isServing() && !isEvacuated(endpoint);
}

// A VM that is switched off has no endpoint, and the VM list may lack its zone.
bool Dispatcher::isVmEvacuated(const core::VmId &vm) const {
  if (Ledger.Evacuations.empty())
    return false;
  const auto *listed = Vms.find(vm);
  const auto endpoints = endpointsOf(vm);
  return (listed && Ledger.Evacuations.contains(listed->Zone)) ||
         std::any_of(endpoints.begin(), endpoints.end(),
                     [this](const auto *at) { return isEvacuated(*at); });
}

bool Dispatcher::isPoolEvacuated(const core::PoolId &pool) const {
  if (Ledger.Evacuations.empty() || Mover.spare() > 0 ||
      Mover.incoming(pool) > 0)
    return false;
  // Until then, it is not known whether there are spare VMs.
  const bool listed =
      Vms.isLoaded() || Hooks.Now() >= LeadingSince + VmListGrace;
  if (!isFleetRead() || !listed)
    return false;
  const auto *members = Pools.members(pool);
  return members &&
         std::all_of(members->begin(), members->end(), [this](const auto &row) {
           return isEvacuated(*row.second);
         });
}

bool Dispatcher::bringsVmIntoService(const VmOrder &order) const {
  const auto *to = jobs::findPool(Ledger.Config, order.To);
  return !order.To.empty() && !(to && to->Spare);
}

bool Dispatcher::mayCarryOut(const VmOrder &order) const {
  return mayEndAllRuns(order) &&
         !(bringsVmIntoService(order) && isVmEvacuated(order.Vm));
}

// --- starts and runs

// No byte of the order was sent, and the endpoint is not to blame.
void Dispatcher::releaseWithheldStart(const TaskKey &task_key, int64_t run,
                                      const jobs::EndpointId &at) {
  Hooks.IncrementCounter("start_orders", "result", "withheld");
  TaskState *state = findTaskState(task_key);
  if (!state || state->Endpoint != at || state->Run != run ||
      state->Phase != TaskPhase::Ordered)
    return;
  if (!state->StartResent) {
    releaseTask(task_key, TaskPhase::Waiting);
    return;
  }
  // An earlier order for the run may still be carried out; an inventory that is
  // requested from now on decides.
  state->Phase = TaskPhase::Unanswered;
  state->Since = Hooks.Now();
}

// The long-running steps with tasks to place or to move, with all their tasks.
std::vector<Dispatcher::ReadyStep> Dispatcher::longRunningSteps() {
  std::vector<ReadyStep> out;
  for (auto &[id, job] : OpenJobs) {
    const auto *record = job.Record;
    if (!record->isOpen())
      continue;
    const auto &spec = *record->Spec;
    size_t first = 0;
    for (int64_t k = 0; k < spec.occurrences(); ++k)
      for (int64_t s = 0; s < int64_t(spec.Steps.size()); ++s) {
        const auto &step = spec.Steps[s];
        if (step.LongRunning && !step.Gang && jobs::isStepReady(*record, k, s))
          out.push_back({&job, record, k, s, first, &step, 0});
        first += size_t(step.Count);
      }
  }
  return out;
}

bool Dispatcher::isInEvacuatedZone(const TaskState &state) const {
  const auto at = Endpoints.find(state.Endpoint);
  return at != Endpoints.end() && isEvacuated(at->second);
}

// A step without an availability budget has one task moved at a time.
bool Dispatcher::mayMoveOut(const TaskKey &task_key) const {
  const auto &state = OpenJobs.at(task_key.first).Tasks[task_key.second];
  const auto at = Endpoints.find(state.Endpoint);
  const bool runs = state.Phase == TaskPhase::Running &&
                    at != Endpoints.end() && isEvacuated(at->second) &&
                    !at->second.Suspect;
  return runs && (hasBudget(task_key) ? mayEndRun(task_key)
                                      : countOtherMissing(task_key) == 0);
}

// Stops long-running tasks in evacuated zones as far as availability budgets
// allow and usable endpoints have capacity that no other task on its way needs.
// The stopped tasks start elsewhere; later calls stop the next ones.
void Dispatcher::moveOutOfEvacuatedZones() {
  const auto now = Hooks.Now();
  if (Ledger.Evacuations.empty() || now < MoveOutDue)
    return;
  MoveOutDue = now + MoveOutInterval;
  const bool any =
      std::any_of(Endpoints.begin(), Endpoints.end(), [this](const auto &row) {
        return row.second.LongRunningCount > 0 && isEvacuated(row.second);
      });
  if (!any)
    return;
  const auto steps = longRunningSteps();
  // Capacity counts as used during this call once it is meant for a task.
  std::vector<std::pair<EndpointView *, core::Size>> claims;
  const auto for_each_step = [&](const auto &visit) {
    for (const auto &step : steps) {
      // Few steps have a task that needs candidates.
      std::optional<StepCandidates> candidates;
      const auto claim = [&] {
        if (!candidates)
          candidates = candidatesFor(step, Pools.usable(step.Job->pool(), now),
                                     TicketUse::Plan);
        EndpointView *at = candidates->allocate(Hooks.Policies.ChooseEndpoint);
        if (at)
          claims.emplace_back(at, requiredCapacity(*step.Spec));
        return at != nullptr;
      };
      const size_t claimed = claims.size();
      for (size_t i = step.First; i < step.First + size_t(step.Spec->Count);
           ++i)
        visit(step, i, claim);
      for (size_t i = claimed; i < claims.size(); ++i)
        claims[i].first->Used = claims[i].first->Used + claims[i].second;
    }
  };
  for_each_step([&](const ReadyStep &step, size_t i, const auto &claim) {
    const TaskState &state = step.Job->Tasks[i];
    const bool on_its_way =
        state.Phase == TaskPhase::Waiting ||
        (state.Phase == TaskPhase::Stopping && isInEvacuatedZone(state));
    if (on_its_way)
      claim();
  });
  for_each_step([&](const ReadyStep &step, size_t i, const auto &claim) {
    const TaskKey task_key{step.Record->Id, i};
    if (mayMoveOut(task_key) && claim())
      stopTask(task_key, "evacuation");
  });
  for (const auto &[at, need] : claims)
    at->Used = at->Used - need;
}

} // namespace almondgate::dispatch
