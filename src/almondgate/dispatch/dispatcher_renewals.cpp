#include "almondgate/dispatch/dispatcher.hpp"

#include "pool_update.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;
using jobs::EndpointId;

namespace {

// A call fails this soon only if its connection is refused or reset.
constexpr DurationMs QuickFailure{50};
// How long a renewal waits for the ends of the one before to become durable.
constexpr DurationMs MaxRenewalDelay{500};
// How soon the end of a run is seen at an endpoint whose renewals may not wait.
constexpr DurationMs PollInterval{250};
// A new leader reads nearly all endpoints within 100 ms. An unreachable
// endpoint must not delay the maintenance and moves of the other VMs for longer
// than this.
constexpr DurationMs MaxInitialReadTime{1000};
// Endpoints of a new fleet send a heartbeat every 1.5 s.
constexpr DurationMs NewFleetDiscoveryTime{3200};

} // namespace

void Dispatcher::renew(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  const auto &facts = endpoint.Facts;
  const bool unanswered_starts = hasUnansweredStarts(endpoint);
  // Late orders of before have no effect once this renewal has been answered,
  // by whichever incarnation.
  if ((endpoint.Suspect || unanswered_starts) &&
      std::exchange(endpoint.FenceUsed, false))
    endpoint.Fence = Fences.next();
  RenewRequest request;
  request.Epoch = endpoint.Fence;
  // Another incarnation may have answered instead of the suspected one, and
  // would forget ends of its own.
  if (!endpoint.Suspect && endpoint.LastDurableEnd > endpoint.AcknowledgedEnd)
    request.LastSeen = endpoint.LastDurableEnd;
  // The lease of an unresponsive endpoint must be left to expire, and so must
  // that of one that is being declared lost: a lease granted now would let the
  // endpoint carry out orders that are about to be considered expired.
  if (endpoint.Lease.isClockKnown() && !facts.Idle && !endpoint.DeclaredLost &&
      !endpoint.Suspect && !endpoint.HasLeft) {
    request.DeadlineMs = endpoint.Lease.grant(now, Options.Lease);
    endpoint.recordLeaseCall(now);
  }
  // The first renewal, and one that decides about an unanswered start, must be
  // answered at once; the others may wait for a run to end.
  if (endpoint.InventoryRead && !endpoint.Suspect && !unanswered_starts &&
      mayWaitForEnds(endpoint))
    request.WaitMs = renewWait(endpoint).Count;
  WaitingRenewals += request.WaitMs > 0 ? 1 : 0;
  Agenda.setRenewing(endpoint, true);
  endpoint.RenewingLease = request.DeadlineMs > 0;
  endpoint.Polled = false;
  Hooks.Renew(facts, request, makeRenewalCheck(facts),
              [this, id = facts.Id, born_ms = facts.BornMs, sent = now, request,
               generation = Generation](const RenewReply &reply) {
                if (generation != Generation)
                  return;
                WaitingRenewals -= request.WaitMs > 0 ? 1 : 0;
                onRenewed(id, born_ms, sent, request, reply);
              });
}

// A renewal waits for a connection, or with its suspended process. Sent later,
// it could extend runs whose leases are assumed to have expired.
DispatcherHooks::MaySend
Dispatcher::makeRenewalCheck(const jobs::EndpointFacts &to) {
  return [this, leads = makeLeaderCheck(), id = to.Id, born_ms = to.BornMs] {
    if (!leads())
      return false;
    const auto it = Endpoints.find(id);
    return it != Endpoints.end() && it->second.Facts.BornMs == born_ms;
  };
}

// Where there is no room for all endpoints, those with runs come first: an
// endpoint without runs has no end to wait for.
bool Dispatcher::mayWaitForEnds(const EndpointView &endpoint) const {
  const size_t room = Hooks.RoomForWaitingRenewals();
  return Endpoints.size() <= room ||
         (endpoint.hasRuns() && WaitingRenewals < room);
}

// Acknowledges durable ends at once. Otherwise the next renewal follows at once
// only if it may wait.
void Dispatcher::renewAgain(EndpointView &endpoint) {
  if (endpoint.LastDurableEnd > endpoint.AcknowledgedEnd ||
      mayWaitForEnds(endpoint)) {
    renew(endpoint);
    return;
  }
  endpoint.Polled = true;
  endpoint.RenewDue =
      Hooks.Now() + (endpoint.hasRuns() ? PollInterval : Options.RenewWait);
}

// The earlier leader's stops must be known before budgets can be spent.
DurationMs Dispatcher::renewWait(const EndpointView &endpoint) const {
  DurationMs wait = Options.RenewWait;
  const DurationMs left = remainingInheritedStopTime(endpoint);
  if (endpoint.LongRunningCount > 0 && left.Count > 0)
    wait = std::min(wait, left);
  const DurationMs missing = endpoint.MissingUntil - Hooks.Now();
  if (missing.Count > 0)
    wait = std::min(wait, missing);
  const DurationMs outstanding = outstandingStartTime(endpoint);
  return outstanding.Count > 0 ? std::min(wait, outstanding) : wait;
}

bool Dispatcher::hasUnansweredStarts(const EndpointView &endpoint) const {
  return Loads.unanswered() > 0 &&
         std::any_of(endpoint.Runs.begin(), endpoint.Runs.end(),
                     [this](const auto &task_key) {
                       const TaskState &state = *findTaskState(task_key);
                       return state.Phase == TaskPhase::Unanswered &&
                              state.Since <= Hooks.Now();
                     });
}

// How long the last of the orders to a former incarnation stays outstanding.
DurationMs
Dispatcher::outstandingStartTime(const EndpointView &endpoint) const {
  DurationMs out;
  if (Loads.unanswered() == 0)
    return out;
  for (const auto &task_key : endpoint.Runs) {
    const TaskState &state = *findTaskState(task_key);
    if (state.Phase == TaskPhase::Unanswered)
      out = std::max(out, state.Since - Hooks.Now());
  }
  return out;
}

void Dispatcher::onRenewed(const EndpointId &id, int64_t born_ms, TimeMs sent,
                           const RenewRequest &request,
                           const RenewReply &reply) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Facts.BornMs != born_ms)
    return;
  EndpointView &endpoint = it->second;
  Agenda.setRenewing(endpoint, false);
  endpoint.RenewingLease = false;
  const PoolUpdate update(Pools, endpoint);
  const auto now = Hooks.Now();
  if (request.DeadlineMs > 0) {
    endpoint.LastLeaseCall = now;
    // The next renewal raises the token, and so rules this one out.
    if (reply.Result == OrderResult::NoAnswer) {
      endpoint.recordUnansweredCall(now, request.Epoch);
      endpoint.FenceUsed = true;
    }
  }
  endpoint.RenewDue = now + Options.RetryInterval;
  if (!isActive())
    return;
  const bool other_incarnation = reply.Result == OrderResult::Accepted &&
                                 born_ms != 0 && reply.Inventory.BornMs != 0 &&
                                 reply.Inventory.BornMs != born_ms;
  if (reply.Result == OrderResult::WrongIncarnation) {
    recordEnded(id, born_ms);
    endpoint.Suspect = true;
    return;
  }
  Hooks.IncrementCounter("renewals", "result",
                         other_incarnation ? "other-incarnation"
                                           : orderResultName(reply.Result));
  if (reply.Result != OrderResult::Accepted || other_incarnation) {
    if (other_incarnation)
      Hooks.Log("endpoint " + id.str() + " incarnation " +
                std::to_string(reply.Inventory.BornMs) +
                " answered a renewal for incarnation " +
                std::to_string(born_ms) + " with deadline " +
                std::to_string(request.DeadlineMs) + "; its clock shows " +
                std::to_string(reply.Inventory.ClockMs) + ", " +
                std::to_string(reply.Inventory.Running.size()) + " running");
    else if (!endpoint.Suspect)
      Hooks.Log("endpoint " + id.str() +
                " could not be read: " + orderResultName(reply.Result));
    endpoint.Suspect = true;
    // A later call with a higher token may have overtaken this one.
    if (reply.Result == OrderResult::Fenced)
      endpoint.Fence = Fences.next();
    // The endpoint's process is gone. Its next incarnation is to be called
    // before it carries out a late start.
    if (now - sent < QuickFailure &&
        now - endpoint.LastUnanswered < Options.MaxLease)
      endpoint.RenewDue = now;
    // Until the new incarnation registers, the next renewal keeps it from
    // carrying out late orders that were given before.
    if (other_incarnation &&
        endpoint.SuccessorBornMs != reply.Inventory.BornMs) {
      endpoint.SuccessorBornMs = reply.Inventory.BornMs;
      endpoint.Fence = Fences.next();
      endpoint.RenewDue = now;
    }
    return;
  }
  if (endpoint.Suspect || !endpoint.InventoryRead)
    Hooks.Log("endpoint " + id.str() + " incarnation " +
              std::to_string(born_ms) + " read, token " +
              std::to_string(request.Epoch) + ", its clock shows " +
              std::to_string(reply.Inventory.ClockMs) + ": " +
              std::to_string(reply.Inventory.Running.size()) + " running, " +
              std::to_string(reply.Inventory.Ended.size()) + " ended" +
              (reply.Inventory.MoreEnds ? ", more to read" : ""));
  endpoint.Lease.observe(reply.Inventory.ClockMs, now);
  endpoint.Suspect = false;
  endpoint.AcknowledgedEnd =
      std::max(endpoint.AcknowledgedEnd, request.LastSeen);
  // Until now, the incarnation may have carried out calls of earlier leaders or
  // for a former incarnation; its fencing token rules them out from here on.
  if (!endpoint.FirstReadClockMs) {
    endpoint.FirstReadClockMs = reply.Inventory.ClockMs;
    endpoint.Lease.assumeRunsUntil(Terms.latestEnd(now));
  }
  endpoint.LastReadClockMs = reply.Inventory.ClockMs;
  if (!reply.Inventory.MoreEnds) {
    endpoint.LastCompleteRead = std::max(endpoint.LastCompleteRead, sent);
    endpoint.CompleteReadFence =
        std::max(endpoint.CompleteReadFence, request.Epoch);
  }
  applyInventory(endpoint, sent, reply.Inventory);
  endpoint.InventoryRead = endpoint.InventoryRead || !reply.Inventory.MoreEnds;
  if (endpoint.InventoryRead && endpoint.MayHoldEarlierRuns)
    clearEarlierRuns(endpoint);
  if (endpoint.Facts.Idle && endpoint.DeclaredLost)
    readmit(endpoint);
  const int64_t reported = endpoint.LastReadEnd;
  // Ends are acknowledged to the endpoint once they are durable. If that takes
  // long, the lease is renewed before.
  endpoint.RenewDue = now + MaxRenewalDelay;
  afterRecorded([this, id, born_ms, reported](bool durable) {
    const auto at = Endpoints.find(id);
    if (at == Endpoints.end() || at->second.Facts.BornMs != born_ms ||
        !durable || !isActive())
      return;
    at->second.LastDurableEnd = std::max(at->second.LastDurableEnd, reported);
    if (!at->second.Renewing)
      renewAgain(at->second);
  });
  schedulePass();
}

void Dispatcher::readmit(EndpointView &endpoint) {
  if (!endpoint.UnresolvedStarts.empty()) {
    stopUnresolvedStarts(endpoint);
    return;
  }
  auto facts = endpoint.Facts;
  facts.Idle = false;
  endpoint.DeclaredLost = false;
  Pools.update(endpoint);
  recordRegistration(facts, endpoint.HeartbeatSequence, [](bool) {});
}

// An endpoint rejects a start that arrives after the stop of its run.
void Dispatcher::stopUnresolvedStarts(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  for (auto &[key, sent] : endpoint.UnresolvedStarts) {
    if (now - sent < Options.RetryInterval)
      continue;
    sent = now;
    Hooks.IncrementCounter("stop_orders", "why", "given up");
    Hooks.Stop(endpoint.Facts, {key.first, key.second, endpoint.Fence},
               makeLeaderCheck(),
               [this, key = key, id = endpoint.Facts.Id,
                born_ms = endpoint.Facts.BornMs, given = now,
                generation = Generation](OrderReply reply) {
                 EndpointView *at =
                     generation == Generation
                         ? findAnsweringIncarnation(id, born_ms, given, reply)
                         : nullptr;
                 if (!at || reply.Result != OrderResult::Accepted)
                   return;
                 at->UnresolvedStarts.erase(key);
                 if (at->UnresolvedStarts.empty() && at->Facts.Idle &&
                     at->DeclaredLost)
                   readmit(*at);
               });
  }
}

// The runs that the incarnation is known to have end with its lease. Others may
// be in progress in an unknown next one: the endpoint may have started anew
// under its id, and calls for this incarnation may have given that one a lease
// of up to the longest.
void Dispatcher::declareLostIfExpired(EndpointView &endpoint) {
  const auto now = Hooks.Now();
  const bool expired = endpoint.Suspect && !endpoint.Facts.Idle &&
                       !endpoint.DeclaredLost &&
                       !endpoint.Lease.mayHoldRuns(now);
  if (!expired)
    return;
  releaseExpiredRuns(endpoint);
  if (!endpoint.Runs.empty() &&
      now < Terms.latestExpiry(endpoint.LastLeaseCall))
    return;
  if (endpoint.isUnread() && now < earlierRunsEnd(endpoint))
    return;
  endpoint.DeclaredLost = true;
  Pools.update(endpoint);
  Hooks.Log("endpoint " + endpoint.Facts.Id.str() + " incarnation " +
            std::to_string(endpoint.Facts.BornMs) +
            " declared lost: unreachable until its lease expired, " +
            endpoint.Lease.describe(Hooks.Now()));
  if (endpoint.HasLeft)
    recordEvent(jobs::EndpointGone{endpoint.Facts.Id, endpoint.Facts.BornMs});
  else
    recordEvent(jobs::EndpointIdled{endpoint.Facts.Id, endpoint.Facts.BornMs});
}

bool Dispatcher::isFleetRead() const {
  const auto passed = Hooks.Now() - LeadingSince;
  if (FleetWasEmpty)
    return passed >= NewFleetDiscoveryTime;
  return passed >= MaxInitialReadTime || !Pools.hasUnread();
}

bool Dispatcher::areEndpointsRead(const OpenJob &job) const {
  return job.Record->Terms.PoolReplaced ? !Pools.hasUnread()
                                        : !Pools.hasUnread(job.pool());
}

void Dispatcher::clearEarlierRuns(EndpointView &endpoint) {
  endpoint.MayHoldEarlierRuns = false;
  EarlierEndpoints.erase(endpoint.Facts.Id);
  Pools.update(endpoint);
}

// Until when runs of the earlier leader may be in progress at an endpoint that
// has not been read since. A call that this leader left open may be carried out
// late, but an endpoint that is silent must not hold back all inherited jobs of
// its pool for as long: that counts only while heartbeats show that it is
// there. Unanswered starts of before are in the ledger and hold their own
// tasks.
TimeMs Dispatcher::earlierRunsEnd(const EndpointView &endpoint) const {
  const TimeMs contact = std::max(LeadingSince, endpoint.LastHeard);
  return Terms.latestExpiry(
      std::min(contact, LeadingSince + LateStart::MaxExecutionDelay));
}

// An endpoint that has answered, but still has ends to list, has a new lease.
void Dispatcher::expireEarlierRuns() {
  const auto now = Hooks.Now();
  if (EarlierEndpoints.empty() || now < Terms.latestExpiry(LeadingSince))
    return;
  size_t expired = 0;
  const auto ids = EarlierEndpoints;
  for (const auto &id : ids) {
    const auto it = Endpoints.find(id);
    if (it == Endpoints.end()) {
      EarlierEndpoints.erase(id);
    } else if (!it->second.FirstReadClockMs &&
               now >= earlierRunsEnd(it->second)) {
      clearEarlierRuns(it->second);
      ++expired;
    }
  }
  if (expired > 0)
    Hooks.Log(std::to_string(expired) +
              " endpoints not read since the change of leader " +
              std::to_string((Hooks.Now() - LeadingSince).Count) +
              " ms ago; the leases of before have expired");
}

bool Dispatcher::mayRunIn(const OpenJob &job, const core::PoolId &pool) {
  return job.pool() == pool || job.Record->Terms.PoolReplaced;
}

} // namespace almondgate::dispatch
