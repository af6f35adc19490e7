#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/watch/control_client.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondgate;
using core::Error;
using core::ErrorCode;
using core::RunOutcome;

namespace {

constexpr size_t MaxHeldBytes = size_t{64} * 1024;
constexpr core::DurationMs Timeout{300};

// Calls a server that answers as `answer` says; returns the errors.
std::vector<Error>
errorsOf(int calls,
         const std::function<void(const protocol::Responder &)> &answer) {
  task::Loop loop;
  const auto at = testing::freeAddress();
  protocol::RpcServer server(
      loop, {"secret"},
      {[&](protocol::Method, const std::string &,
           const protocol::Responder &respond) { answer(respond); },
       [](const std::string &) {}});
  REQUIRE(bool(server.listen(at)));
  protocol::RpcClient rpc(loop, {"secret"});
  watch::ControlClient control(loop, rpc, {at}, MaxHeldBytes);
  std::vector<Error> errors;
  for (int i = 0; i < calls; ++i)
    control.call(protocol::Method::Job, "x", Timeout, [&](const auto &reply) {
      errors.push_back(reply.error());
      if (errors.size() == size_t(calls))
        loop.stop();
    });
  loop.run();
  CHECK(control.budget().Used == 0);
  return errors;
}

} // namespace

TEST_CASE("calls that wait for a leader beyond the limit have not run") {
  constexpr int Calls = 1000;
  const auto errors = errorsOf(Calls, [](const auto &respond) {
    respond(Error{ErrorCode::NotLeader, "no leader"});
  });
  const Error refused{ErrorCode::Overloaded,
                      "too many calls wait for the control leader",
                      RunOutcome::NotRun};
  CHECK(size_t(std::count(errors.begin(), errors.end(), refused)) >
        Calls - MaxHeldBytes / 512);
}

TEST_CASE("a refusal does not hide that an earlier attempt may have run") {
  int attempts = 0;
  const auto errors = errorsOf(1, [&](const auto &respond) {
    if (++attempts == 1)
      respond(Error{ErrorCode::Unavailable, "lost", RunOutcome::Unknown});
    else
      respond(Error{ErrorCode::Overloaded, "full", RunOutcome::NotRun});
  });
  CHECK(attempts == 2);
  CHECK(errors[0].Outcome == RunOutcome::Unknown);
}
