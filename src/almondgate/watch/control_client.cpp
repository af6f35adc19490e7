#include "almondgate/watch/control_client.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/task/loop.hpp"

#include <algorithm>

namespace almondgate::watch {

using core::DurationMs;
using core::ErrorCode;

namespace {

constexpr DurationMs RetryDelay{25};
// A commit takes about 20 ms. A leader that does not reply for this long is
// frozen, partitioned or down, and the others have had time to elect a new one.
constexpr DurationMs AttemptTimeout{500};
// What a waiting call costs beside its body: callbacks and a timer.
constexpr size_t CallOverheadBytes = 512;

size_t heldBytes(const std::string &body) {
  return body.size() + CallOverheadBytes;
}

bool isRetryable(ErrorCode code) {
  return code == ErrorCode::NotLeader || code == ErrorCode::Unavailable ||
         code == ErrorCode::DeadlineExceeded;
}

} // namespace

struct ControlClient::PendingCall {
  protocol::Method Method;
  std::string Body;
  core::TimeMs Deadline;
  protocol::RpcClient::OnReply Done;
  std::unique_ptr<task::Timer> Retry;
  bool MayHaveRun = false;
};

ControlClient::ControlClient(task::Loop &loop, protocol::RpcClient &rpc,
                             std::vector<core::Address> members,
                             size_t max_held_bytes)
    : Loop(loop), Rpc(rpc), Leader(std::move(members)), Held(max_held_bytes) {}

core::BudgetReading ControlClient::budget() const {
  return core::readBudget("leader-calls", Held);
}

void ControlClient::setMembers(std::vector<core::Address> members) {
  Leader.setMembers(std::move(members));
}

void ControlClient::call(protocol::Method method, std::string body,
                         DurationMs timeout,
                         protocol::RpcClient::OnReply done) {
  if (!Held.tryReserve(heldBytes(body))) {
    // Callers do not expect `done` to run within call().
    Loop.defer([done = std::move(done)] {
      done(core::Error{ErrorCode::Overloaded,
                       "too many calls wait for the control leader",
                       core::RunOutcome::NotRun});
    });
    return;
  }
  const auto call = std::make_shared<PendingCall>();
  call->Method = method;
  call->Body = std::move(body);
  call->Deadline = core::monotonicNow() + timeout;
  call->Done = std::move(done);
  sendAttempt(call);
}

void ControlClient::sendAttempt(const std::shared_ptr<PendingCall> &call) {
  const auto left = call->Deadline - core::monotonicNow();
  const auto member = Leader.select(core::monotonicNow());
  Rpc.call(member, call->Method, call->Body, std::min(left, AttemptTimeout),
           [this, call, member](core::Result<std::string> reply) {
             onReply(call, member, std::move(reply));
           });
}

void ControlClient::finish(const std::shared_ptr<PendingCall> &call,
                           core::Result<std::string> reply) {
  Held.release(heldBytes(call->Body));
  call->Done(std::move(reply));
}

void ControlClient::onReply(const std::shared_ptr<PendingCall> &call,
                            const core::Address &member,
                            core::Result<std::string> reply) {
  if (reply || !isRetryable(reply.error().Code)) {
    // An earlier attempt may have run even though this one did not.
    if (!reply && call->MayHaveRun &&
        reply.error().Code == ErrorCode::Overloaded) {
      core::Error error = reply.error();
      error.Outcome = core::RunOutcome::Unknown;
      reply = error;
    }
    finish(call, std::move(reply));
    return;
  }
  if (reply.error().Code == ErrorCode::DeadlineExceeded)
    Leader.recordTimeout(member, core::monotonicNow());
  else if (Leader.select(core::monotonicNow()) == member)
    Leader.recordNotLeader(member);
  call->MayHaveRun =
      call->MayHaveRun || reply.error().Code != ErrorCode::NotLeader;
  if (core::monotonicNow() + RetryDelay >= call->Deadline) {
    core::Error error = reply.error();
    error.Outcome =
        call->MayHaveRun ? core::RunOutcome::Unknown : core::RunOutcome::NotRun;
    finish(call, error);
    return;
  }
  call->Retry = std::make_unique<task::Timer>(Loop);
  call->Retry->once(RetryDelay, [this, call] { sendAttempt(call); });
}

} // namespace almondgate::watch
