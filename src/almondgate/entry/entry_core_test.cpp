#include "almondgate/core/digest.hpp"
#include "almondgate/entry/entry_core.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace almondgate;
using namespace almondgate::entry;
using core::Error;
using core::ErrorCode;
using core::RequestId;
using core::Result;
using core::RunOutcome;
using model::RunEnd;

namespace {

const core::PoolId Pool("p");
const core::TeamId Team("t");

model::View sampleView() {
  model::View view;
  view.Revision = 1;
  view.apply({1, false, model::Pool{Pool}});
  view.apply({1, false, model::Team{Team, 1, 10}});
  view.apply({1, false, model::Queue{core::QueueId("q"), Pool, Team}});
  view.apply({1, false, model::Key{core::KeyHash(core::sha256Hex("k")), Team}});
  view.apply(
      {1, false,
       model::PoolOwner{Pool, core::ProcessId("placer"), {"127.0.0.1", 1}, 3}});
  return view;
}

/// An EntryCore with mocked hooks.
struct Harness {
  core::TimeMs Now{100000};
  struct PendingGrant {
    model::GrantRequest Request;
    EntryHooks::OnGrant Done;
  };
  struct PendingCall {
    http::EndpointCall Call;
    EntryHooks::OnResponse Done;
  };
  struct PendingChange {
    state::Change Change;
    EntryHooks::OnChange Done;
  };
  std::deque<PendingGrant> Grants;
  std::deque<PendingCall> Dispatches;
  std::deque<PendingChange> Changes;
  std::vector<model::Release> Releases;
  std::vector<uint64_t> Aborted;
  std::vector<Result<http::Response>> Answers;
  EntryCore Core;

  Harness() : Core({.Self = core::ProcessId("e1")}, hooks()) {
    Core.setView(sampleView(), Now);
  }

  EntryHooks hooks() {
    EntryHooks out;
    out.Now = [this] { return Now; };
    out.WallClock = [] { return int64_t{5}; };
    out.Grant = [this](const auto &, const auto &request, auto done) {
      Grants.push_back({request, done});
    };
    out.Release = [this](const auto &release) { Releases.push_back(release); };
    out.Propose = [this](const auto &change, auto done) {
      Changes.push_back({change, done});
    };
    out.Dispatch = [this](auto call, auto done) {
      Dispatches.push_back({call, done});
      return uint64_t(Dispatches.size());
    };
    out.Abort = [this](uint64_t call) { Aborted.push_back(call); };
    out.Log = [](const std::string &) {};
    return out;
  }

  void submit(const char *id, bool idempotent, const char *key = "") {
    CallerRequest request;
    request.Id = RequestId(id);
    request.Admission.Queue = core::QueueId("q");
    request.Admission.Key = "k";
    request.Idempotent = idempotent;
    request.IdempotencyKey = key;
    request.Payload.Method = idempotent ? "GET" : "POST";
    Core.submit(request, [this](const auto &a) { Answers.push_back(a); });
  }

  model::Grant grantFor(const model::GrantRequest &request,
                        const char *vm = "v1") const {
    return {request.Id, Pool, core::VmId(vm), {"127.0.0.1", 2}, 3, 0};
  }

  void grantNext(const char *vm = "v1") {
    const auto pending = Grants.front();
    Grants.pop_front();
    pending.Done(grantFor(pending.Request, vm));
  }

  void answerNext(const Result<http::Response> &answer) {
    const auto sent = Dispatches.front();
    Dispatches.pop_front();
    sent.Done(answer);
  }

  Error lastError() const {
    REQUIRE(!Answers.empty());
    REQUIRE(!Answers.back());
    return Answers.back().error();
  }
};

const Error NotSent{ErrorCode::EndpointFailed, "refused", RunOutcome::NotRun};
const Error MaybeSent{ErrorCode::EndpointFailed, "reset", RunOutcome::Unknown};

} // namespace

TEST_CASE("a granted request is dispatched and answered") {
  Harness harness;
  harness.submit("r", true);
  harness.grantNext();
  REQUIRE(harness.Dispatches.size() == 1);
  CHECK(!harness.Dispatches[0].Call.FreshConnection);
  harness.answerNext(http::Response{200, {}, "ok"});
  REQUIRE(harness.Answers.size() == 1);
  CHECK(harness.Answers[0].value().Body == "ok");
  REQUIRE(harness.Releases.size() == 1);
  CHECK(harness.Releases[0].End == RunEnd::Succeeded);
  CHECK(harness.Core.openRequests() == 0);
}

TEST_CASE("a stale view refuses new requests") {
  Harness harness;
  harness.Now = harness.Now + core::DurationMs{3001};
  harness.submit("r", true);
  CHECK(harness.lastError().Code == ErrorCode::Stale);
  CHECK(harness.lastError().Outcome == RunOutcome::NotRun);
  CHECK(harness.Grants.empty());
}

TEST_CASE("only requests that can run safely twice are retried") {
  struct Case {
    bool Idempotent;
    Error Failure;
    bool Retried;
    RunOutcome Reported;
  };
  const Case cases[] = {
      {true, MaybeSent, true, RunOutcome::Unknown},
      {false, MaybeSent, false, RunOutcome::Unknown},
      {true, NotSent, true, RunOutcome::Unknown},
      {false, NotSent, true, RunOutcome::NotRun},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Idempotent);
    CAPTURE(c.Failure.Text);
    Harness harness;
    harness.submit("r", c.Idempotent);
    harness.grantNext("v1");
    CHECK(harness.Dispatches[0].Call.FreshConnection == !c.Idempotent);
    harness.answerNext(c.Failure);
    CHECK(harness.Grants.size() == (c.Retried ? 1 : 0));
    if (!c.Retried) {
      CHECK(harness.lastError().Outcome == c.Reported);
      continue;
    }
    CHECK(harness.Grants[0].Request.Exclude ==
          std::vector<core::VmId>{core::VmId("v1")});
  }
}

TEST_CASE("a request that fails on every endpoint fails after three attempts") {
  Harness harness;
  harness.submit("r", true);
  int sent = 0;
  while (!harness.Grants.empty()) {
    harness.grantNext();
    ++sent;
    harness.answerNext(http::Response{500, {}, "broken"});
  }
  CHECK(sent == 3);
  REQUIRE(harness.Answers.size() == 1);
  CHECK(harness.Answers[0].value().Status == 500);
}

TEST_CASE("retries stay a small part of the load") {
  Harness harness;
  int sent = 0;
  constexpr int Requests = 1000;
  for (int i = 0; i < Requests; ++i) {
    harness.submit(("r" + std::to_string(i)).c_str(), true);
    while (!harness.Grants.empty()) {
      harness.grantNext();
      ++sent;
      harness.answerNext(http::Response{500, {}, ""});
    }
  }
  CHECK(sent <= Requests * 11 / 10);
}

TEST_CASE("a late or outdated grant is returned unused") {
  struct Case {
    const char *Name;
    std::function<void(Harness &, model::Grant &)> Prepare;
  };
  const std::vector<Case> cases = {
      {"after a freeze",
       [](Harness &b, model::Grant &) {
         b.Now = b.Now + core::DurationMs{2500};
       }},
      {"from an earlier owner",
       [](Harness &b, model::Grant &) {
         (void)b.Core.inventory({Pool, 4});
       }},
      {"after the caller disconnected",
       [](Harness &b, model::Grant &) {
         b.Core.callerDisconnected(RequestId("r"));
       }},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Harness harness;
    harness.submit("r", false);
    const auto pending = harness.Grants.front();
    harness.Grants.pop_front();
    auto grant = harness.grantFor(pending.Request);
    c.Prepare(harness, grant);
    pending.Done(grant);
    CHECK(harness.Dispatches.empty());
    REQUIRE(!harness.Releases.empty());
    CHECK(harness.Releases.back().Id == grant.Id);
    CHECK(harness.Releases.back().End == RunEnd::Unused);
  }
}

TEST_CASE("late and duplicate responses of an endpoint are dropped") {
  Harness harness;
  harness.submit("r", true);
  harness.grantNext();
  const auto first = harness.Dispatches.front();
  harness.answerNext(MaybeSent);
  harness.grantNext("v2");
  first.Done(http::Response{200, {}, "late"});
  CHECK(harness.Answers.empty());
  const auto second = harness.Dispatches.front();
  harness.answerNext(http::Response{200, {}, "right"});
  second.Done(http::Response{200, {}, "twice"});
  REQUIRE(harness.Answers.size() == 1);
  CHECK(harness.Answers[0].value().Body == "right");
}

TEST_CASE("a request with a key is recorded before it is dispatched") {
  Harness harness;
  harness.submit("r", false, "order");
  CHECK(harness.Grants.empty());
  REQUIRE(harness.Changes.size() == 1);
  harness.Changes.front().Done(state::ChangeResult{true, 2, {}});
  CHECK(harness.Grants.size() == 1);
  harness.grantNext();
  harness.answerNext(http::Response{200, {}, ""});
  const auto &end =
      std::get<state::FinishIntent>(harness.Changes.back().Change.What);
  CHECK(end.Status == 200);
}

TEST_CASE("the outcomes of a record") {
  struct Case {
    const char *Name;
    Result<state::ChangeResult> Answer;
    RunOutcome Reported;
  };
  const std::vector<Case> cases = {
      {"a conflict: the first may have run",
       state::ChangeResult{false, 2, {ErrorCode::Conflict, "before"}},
       RunOutcome::Unknown},
      {"no answer: nothing was sent",
       Error{ErrorCode::Unavailable, "no leader"}, RunOutcome::NotRun},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Harness harness;
    harness.submit("r", false, "order");
    harness.Changes.front().Done(c.Answer);
    CHECK(harness.Grants.empty());
    CHECK(harness.lastError().Outcome == c.Reported);
  }
}

TEST_CASE("two arrivals with the same id have separate records") {
  Harness harness;
  harness.submit("r", false, "order");
  const auto first =
      std::get<state::BeginIntent>(harness.Changes.back().Change.What).Request;
  harness.Changes.back().Done(state::ChangeResult{true, 2, {}});
  harness.grantNext();
  harness.answerNext(http::Response{200, {}, ""});
  harness.submit("r", false, "order");
  const auto second =
      std::get<state::BeginIntent>(harness.Changes.back().Change.What).Request;
  CHECK(first != second);
}

TEST_CASE("without a pool owner a request retries its grant until its wait "
          "deadline") {
  Harness harness;
  harness.submit("r", true);
  const auto pending = harness.Grants.front();
  harness.Grants.pop_front();
  pending.Done(Error{ErrorCode::NotLeader, "moved"});
  CHECK(harness.Answers.empty());
  harness.Now = harness.Now + core::DurationMs{60};
  harness.Core.tick();
  CHECK(harness.Grants.size() == 1);
  harness.Grants.front().Done(Error{ErrorCode::NotLeader, "moved"});
  harness.Now = harness.Now + core::DurationMs{40000};
  harness.Core.tick();
  CHECK(harness.lastError().Code == ErrorCode::NoCapacity);
  CHECK(harness.lastError().Outcome == RunOutcome::NotRun);
}

TEST_CASE("a disconnected caller aborts only idempotent runs") {
  Harness harness;
  harness.submit("get", true);
  harness.grantNext();
  harness.Core.callerDisconnected(RequestId("get"));
  CHECK(harness.Aborted.size() == 1);
  CHECK(harness.Releases.back().End == RunEnd::Cancelled);
  harness.submit("post", false);
  harness.grantNext();
  harness.Core.callerDisconnected(RequestId("post"));
  CHECK(harness.Aborted.size() == 1);
  CHECK(harness.Core.openRequests() == 1);
}

TEST_CASE("only the API key of a request cancels it") {
  Harness harness;
  harness.submit("r", true);
  CHECK(!harness.Core.cancelFor(RequestId("r"), "other"));
  CHECK(harness.Core.cancelFor(RequestId("r"), "k"));
  CHECK(harness.lastError().Code == ErrorCode::Cancelled);
  CHECK(harness.lastError().Outcome == RunOutcome::NotRun);
}

TEST_CASE("an inventory lists the runs") {
  Harness harness;
  harness.submit("waits", true);
  harness.submit("runs", true);
  harness.Grants.pop_front();
  harness.grantNext();
  const auto inventory = harness.Core.inventory({Pool, 4});
  REQUIRE(inventory.Items.size() == 1);
  CHECK(inventory.Items[0].Team == Team);
}
