#include "almondgate/control/heartbeat_relay.hpp"
#include "almondgate/control/heartbeat_member.hpp"

#include "serve_each.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondgate::control {

using core::DurationMs;
using core::ErrorCode;

namespace {

// A heartbeat has at most about 20 KB, so that a batch stays far below the
// bytes that a peer may hold.
constexpr size_t MaxBatch = 256;
// A change of leader takes about 1.3 s. Endpoints try another member after a
// refusal.
constexpr DurationMs RetryInterval{100};
constexpr DurationMs MaxRetryTime{1000};

} // namespace

void HeartbeatRelay::add(const jobs::EndpointHeartbeat &heartbeat,
                         OnAnswer done) {
  Queue.push_back({heartbeat, std::move(done), Hooks.Now()});
  sendNext();
}

void HeartbeatRelay::sendNext() {
  if (!InFlight.empty() || Queue.empty())
    return;
  const auto end =
      Queue.begin() + std::ptrdiff_t(std::min(MaxBatch, Queue.size()));
  InFlight.assign(std::make_move_iterator(Queue.begin()),
                  std::make_move_iterator(end));
  Queue.erase(Queue.begin(), end);
  send();
}

void HeartbeatRelay::send() {
  jobs::HeartbeatBatch batch;
  for (const auto &pending : InFlight)
    batch.Heartbeats.push_back(pending.Heartbeat);
  Hooks.Send(batch, [this](const auto &reply) {
    if (!reply && reply.error().Code == ErrorCode::NotFound)
      sendEach();
    else
      onReply(reply);
  });
}

// The endpoints stay with the member that they call: only a leader that knows
// batches tells which members are reachable.
void HeartbeatRelay::sendEach() {
  std::vector<jobs::EndpointHeartbeat> heartbeats;
  for (const auto &pending : InFlight)
    heartbeats.push_back(pending.Heartbeat);
  serveEach(heartbeats, Hooks.SendOne,
            [this](const jobs::HeartbeatReply &reply) { onReply(reply); });
}

void HeartbeatRelay::onReply(const core::Result<jobs::HeartbeatReply> &reply) {
  const bool no_leader = !reply && reply.error().Code == ErrorCode::NotLeader;
  if (no_leader && Hooks.Now() - InFlight.front().Since < MaxRetryTime) {
    Hooks.Defer(RetryInterval, [this] { send(); });
    return;
  }
  const auto answered = std::exchange(InFlight, {});
  for (size_t i = 0; i < answered.size(); ++i) {
    const auto &done = answered[i].Done;
    if (!reply)
      done(reply.error());
    else if (i >= reply.value().Results.size())
      done(core::Error{ErrorCode::Corrupt,
                       "the leader's answer lacks a heartbeat of the batch"});
    else if (!reply.value().Results[i].Accepted)
      done(reply.value().Results[i].Error);
    else
      done(chooseHeartbeatMember(answered[i].Heartbeat.Facts.Id,
                                 reply.value().Members));
  }
  sendNext();
}

} // namespace almondgate::control
