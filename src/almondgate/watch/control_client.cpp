#include "almondgate/watch/control_client.hpp"
#include "almondgate/core/time_ms.hpp"

#include <algorithm>

namespace almondgate::watch {

using core::DurationMs;
using core::ErrorCode;

namespace {

constexpr DurationMs RetryDelay{25};
constexpr DurationMs LongestTry{1500};

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
    : Loop(loop), Rpc(rpc), Members(std::move(members)) {}

void ControlClient::setMembers(std::vector<core::Address> members) {
  if (members.empty() || members == Members)
    return;
  const auto leader = Members[Leader];
  Members = std::move(members);
  const auto it = std::find(Members.begin(), Members.end(), leader);
  Leader = it == Members.end() ? 0 : size_t(it - Members.begin());
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
  const size_t asked = Leader % Members.size();
  Rpc.call(Members[asked], attempt->Method, attempt->Body,
           std::min(left, LongestTry),
           [this, attempt, asked](core::Result<std::string> reply) {
             onReply(attempt, asked, std::move(reply));
           });
}

void ControlClient::onReply(const std::shared_ptr<Attempt> &attempt,
                            size_t asked, core::Result<std::string> reply) {
  if (reply || !mayTryAgain(reply.error().Code)) {
    attempt->Done(std::move(reply));
    return;
  }
  attempt->MayHaveRun =
      attempt->MayHaveRun || reply.error().Code != ErrorCode::NotLeader;
  if (Leader == asked)
    Leader = (asked + 1) % Members.size();
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
