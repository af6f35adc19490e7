#include "almondgate/dispatch/near_waits.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using policy::NearWaitDecision;
using policy::NearWaitReason;

namespace {

const char *outcomeOf(NearWaitReason reason) {
  const bool at_limit = reason == NearWaitReason::BoundReached ||
                        reason == NearWaitReason::DueTime;
  return at_limit ? "timed-out" : "gave-up";
}

} // namespace

void NearWaits::count(const char *outcome, int64_t n) const {
  for (int64_t i = 0; i < n; ++i)
    H.IncrementCounter("near_waits", "outcome", outcome);
}

void NearWaits::endIfOver(NearWait &wait, const std::string &name,
                          const char *why) {
  if (wait.Waiting > 0)
    return;
  H.Log(name + " waits no longer for a nearby place (" + why +
        "): " + std::to_string(wait.PlacedNear) + " placed near, " +
        std::to_string(wait.Left) + " may start anywhere, after " +
        std::to_string((H.Now() - wait.Since).Count) + " ms");
  // A task that is started again after a failed run may wait again, unless
  // waiting has turned out to be of no use.
  if (wait.Left == 0)
    wait = NearWait();
}

void NearWaits::onPlacedNear(NearWait &wait, const std::string &name,
                             int64_t count_placed) {
  const int64_t placed = std::min(count_placed, wait.Waiting);
  if (placed == 0)
    return;
  wait.Waiting -= placed;
  wait.PlacedNear += placed;
  count("placed-near", placed);
  endIfOver(wait, name, "placed near");
}

std::optional<RackForecast::Start>
NearWaits::earliestStart(const Request &request) {
  std::optional<RackForecast::Start> out;
  for (const auto *group : request.Groups) {
    auto start = Forecast.earliestStart(*group, request.Task);
    if (start && (!out || start->WaitMs < out->WaitMs))
      out = std::move(start);
  }
  return out;
}

int64_t NearWaits::decide(NearWait &wait, const Request &request) {
  const bool began = wait.Waiting > 0;
  const bool over = !began && wait.Left > 0;
  const int64_t candidates =
      over ? 0
           : std::min({request.Count, began ? wait.Waiting : request.Count,
                       std::max<int64_t>(request.MaxWaiting, 0)});
  policy::NearWaitInput input;
  input.NearRunMs = request.Task.RunMs;
  input.RemoteFactor = RemoteFactor;
  input.WaitedMs = began ? (H.Now() - wait.Since).Count : 0;
  input.SlackMs = request.SlackMs;
  input.PoolIdle = request.PoolIdle;
  NearWaitDecision decision;
  NearWaitDecision first;
  std::optional<int64_t> first_wait_ms;
  int64_t waiting = 0;
  for (; waiting < candidates; ++waiting) {
    const auto start = earliestStart(request);
    input.ExpectedWaitMs = start ? std::optional(start->WaitMs) : std::nullopt;
    decision = H.Decide(input);
    if (!decision.Wait)
      break;
    if (start)
      Forecast.enqueue(*start, request.Task);
    if (waiting == 0) {
      first = decision;
      first_wait_ms = input.ExpectedWaitMs;
    }
  }
  if (!began && waiting > 0) {
    wait = NearWait();
    wait.Since = H.Now();
    wait.Waiting = waiting;
    count("started", waiting);
    H.Log(request.Name + ": " + std::to_string(waiting) + " of " +
          std::to_string(request.Count) +
          (request.Task.Count > 1 ? " gangs wait for " : " tasks wait for ") +
          request.Place + ", for " + std::to_string(first.AtMostMs) +
          " ms at most; the first place is expected in " +
          (first_wait_ms ? std::to_string(*first_wait_ms) + " ms"
                         : std::string("unknown time")) +
          ", a run takes " + std::to_string(request.Task.RunMs) + " ms near");
  } else if (began && waiting < wait.Waiting) {
    wait.Left += candidates - waiting;
    wait.Waiting = waiting;
    count(outcomeOf(decision.Reason), candidates - waiting);
    endIfOver(wait, request.Name,
              candidates > waiting ? policy::nearWaitReasonName(decision.Reason)
                                   : "its tasks no longer wait");
  }
  return waiting;
}

} // namespace almondgate::dispatch
