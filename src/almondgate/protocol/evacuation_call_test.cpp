#include "almondgate/encoding/codec.hpp"
#include "almondgate/jobs/evacuation_list.hpp"
#include "almondgate/protocol/evacuation_call.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <optional>

using namespace almondgate;
using namespace almondgate::protocol;
using core::Error;
using core::ErrorCode;
using core::Result;

namespace {

/// Answers the calls to the leader as a test says, in virtual time.
struct FakeLeader {
  core::TimeMs Now{1000};
  bool Wanted = true;
  /// Answers to SetEvacuation, in order; then it succeeds.
  std::deque<Error> Refusals;
  /// Answers to ListEvacuations, in order; then it succeeds.
  std::deque<Error> ReadErrors;
  /// Called before each answer.
  std::function<void(Method)> OnCall = [](Method) {};
  uint64_t Revision = 7;
  std::vector<jobs::EvacuationChange> Changes;
  std::optional<core::Status> Outcome;

  void run() {
    EvacuationCallHooks hooks;
    hooks.Now = [this] { return Now; };
    hooks.Defer = [this](core::DurationMs delay, std::function<void()> fn) {
      Deferred.push_back([this, delay, fn = std::move(fn)] {
        Now = Now + delay;
        fn();
      });
    };
    hooks.IsWanted = [this] { return Wanted; };
    hooks.CallLeader = [this](Method method, const std::string &body,
                              const Responder &done) {
      OnCall(method);
      done(answer(method, body));
    };
    changeEvacuation(hooks, {core::ZoneId("z"), true, "ann", "", {}},
                     [this](const core::Status &status) { Outcome = status; });
    while (!Deferred.empty()) {
      const auto fn = Deferred.front();
      Deferred.pop_front();
      fn();
    }
    REQUIRE(Outcome.has_value());
  }

private:
  Result<std::string> answer(Method method, const std::string &body) {
    auto &errors = method == Method::ListEvacuations ? ReadErrors : Refusals;
    if (method == Method::SetEvacuation)
      Changes.push_back(encoding::decode<jobs::EvacuationChange>(body).value());
    if (!errors.empty()) {
      const Error error = errors.front();
      errors.pop_front();
      return error;
    }
    if (method == Method::SetEvacuation)
      return std::string();
    jobs::EvacuationList list;
    list.Basis.Revision = Revision++;
    return encoding::encode(list);
  }

  std::deque<std::function<void()>> Deferred;
};

} // namespace

TEST_CASE("a change is sent with the basis that was read") {
  FakeLeader leader;
  leader.run();
  CHECK(bool(*leader.Outcome));
  REQUIRE(leader.Changes.size() == 1);
  CHECK(leader.Changes[0].Basis.Revision == 7);
  CHECK(leader.Changes[0].By == "ann");
}

// Guards against a change that is lost because another operator was faster, or
// because the leader changed between the read and the change.
TEST_CASE("a refused change is read and sent again") {
  FakeLeader leader;
  leader.ReadErrors = {{ErrorCode::NotLeader, "no leader"}};
  leader.Refusals = {{ErrorCode::Conflict, "outdated"},
                     {ErrorCode::NotLeader, "no longer leading"},
                     {ErrorCode::DeadlineExceeded, "no answer"}};
  leader.run();
  CHECK(bool(*leader.Outcome));
  REQUIRE(leader.Changes.size() == 4);
  CHECK(leader.Changes[3].Basis.Revision == 10);
}

// Guards against a call that an operator has given up and that takes effect
// after a newer one.
TEST_CASE("a call that is no longer wanted changes nothing") {
  FakeLeader gone;
  gone.Wanted = false;
  gone.run();
  CHECK(gone.Outcome->error().Code == ErrorCode::Cancelled);
  FakeLeader going;
  going.OnCall = [&](Method) { going.Wanted = false; };
  going.run();
  CHECK(going.Outcome->error().Code == ErrorCode::Cancelled);
  CHECK(going.Changes.empty());
  FakeLeader late;
  late.OnCall = [&](Method) { late.Now = late.Now + core::DurationMs{1500}; };
  late.run();
  CHECK(late.Outcome->error().Code == ErrorCode::Unavailable);
  CHECK(late.Changes.empty());
}

TEST_CASE("a change that finds no leader ends after a second") {
  FakeLeader leader;
  const auto began = leader.Now;
  leader.ReadErrors.assign(1000, {ErrorCode::NotLeader, "no leader"});
  leader.run();
  CHECK(leader.Outcome->error().Code == ErrorCode::Unavailable);
  CHECK((leader.Now - began).Count <= 1050);
}

TEST_CASE("a change that can never be accepted is not repeated") {
  for (const auto code : {ErrorCode::InvalidArgument, ErrorCode::NeverFits}) {
    FakeLeader leader;
    leader.Refusals = {{code, "no"}};
    leader.run();
    CHECK(leader.Outcome->error().Code == code);
    CHECK(leader.Changes.size() == 1);
  }
}
