#include "almondgate/watch/control_client.hpp"
#include "almondgate/core/time_ms.hpp"

#include <algorithm>

namespace almondgate::watch {

using core::DurationMs;
using core::ErrorCode;

namespace {

constexpr DurationMs RetryDelay{25};
// A commit takes some 20 ms; a leader that is silent for so long is frozen, cut
// off or gone, and the others have had time to elect another.
constexpr DurationMs LongestTry{500};

bool mayTryAgain(ErrorCode code) {
  return code == ErrorCode::NotLeader || code == ErrorCode::Unavailable ||
         code == ErrorCode::DeadlineExceeded;
}

} // namespace

struct ControlClient::Attempt {
  protocol::Method Method;
  std::string Body;
  core::TimeMs Deadline;
  protocol::RpcClient::OnReply Done;
  std::unique_ptr<task::Timer> Retry;
  bool MayHaveRun = false;
};

ControlClient::ControlClient(task::Loop &loop, protocol::RpcClient &rpc,
                             std::vector<core::Address> members)
    : Loop(loop), Rpc(rpc), Guess(std::move(members)) {}

void ControlClient::setMembers(std::vector<core::Address> members) {
  Guess.setMembers(std::move(members));
}

void ControlClient::call(protocol::Method method, std::string body,
                         DurationMs timeout,
                         protocol::RpcClient::OnReply done) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->Method = method;
  attempt->Body = std::move(body);
  attempt->Deadline = core::monotonicNow() + timeout;
  attempt->Done = std::move(done);
  start(attempt);
}

void ControlClient::start(const std::shared_ptr<Attempt> &attempt) {
  const auto left = attempt->Deadline - core::monotonicNow();
  const auto asked = Guess.ask(core::monotonicNow());
  Rpc.call(asked, attempt->Method, attempt->Body, std::min(left, LongestTry),
           [this, attempt, asked](core::Result<std::string> reply) {
             onReply(attempt, asked, std::move(reply));
           });
}

void ControlClient::onReply(const std::shared_ptr<Attempt> &attempt,
                            const core::Address &asked,
                            core::Result<std::string> reply) {
  if (reply || !mayTryAgain(reply.error().Code)) {
    attempt->Done(std::move(reply));
    return;
  }
  if (reply.error().Code == ErrorCode::DeadlineExceeded)
    Guess.recordTimeout(asked, core::monotonicNow());
  else if (Guess.ask(core::monotonicNow()) == asked)
    Guess.recordNotLeader(asked);
  attempt->MayHaveRun =
      attempt->MayHaveRun || reply.error().Code != ErrorCode::NotLeader;
  if (core::monotonicNow() + RetryDelay >= attempt->Deadline) {
    core::Error error = reply.error();
    error.Outcome = attempt->MayHaveRun ? core::RunOutcome::Unknown
                                        : core::RunOutcome::NotRun;
    attempt->Done(error);
    return;
  }
  attempt->Retry = std::make_unique<task::Timer>(Loop);
  attempt->Retry->once(RetryDelay, [this, attempt] { start(attempt); });
}

} // namespace almondgate::watch
