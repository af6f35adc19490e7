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

/// An EntryCore whose world is played by the test.
struct Bench {
  core::TimeMs Now{100000};
  struct Asked {
    model::GrantRequest Request;
    EntryHooks::OnGrant Done;
  };
  struct Sent {
    http::EndpointCall Call;
    EntryHooks::OnResponse Done;
  };
  struct Proposed {
    state::Change Change;
    EntryHooks::OnChange Done;
  };
  std::deque<Asked> Grants;
  std::deque<Sent> Dispatches;
  std::deque<Proposed> Changes;
  std::vector<model::Release> Releases;
  std::vector<uint64_t> Aborted;
  std::vector<Result<http::Response>> Answers;
  EntryCore Core;

  Bench() : Core({.Self = core::ProcessId("e1")}, hooks()) {
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
    request.Asked.Queue = core::QueueId("q");
    request.Asked.Key = "k";
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
    const auto asked = Grants.front();
    Grants.pop_front();
    asked.Done(grantFor(asked.Request, vm));
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

TEST_CASE("a request goes from its grant to its answer") {
  Bench bench;
  bench.submit("r", true);
  bench.grantNext();
  REQUIRE(bench.Dispatches.size() == 1);
  CHECK(!bench.Dispatches[0].Call.FreshConnection);
  bench.answerNext(http::Response{200, {}, "ok"});
  REQUIRE(bench.Answers.size() == 1);
  CHECK(bench.Answers[0].value().Body == "ok");
  REQUIRE(bench.Releases.size() == 1);
  CHECK(bench.Releases[0].End == RunEnd::Succeeded);
  CHECK(bench.Core.openRequests() == 0);
}

TEST_CASE("without a confirmed view nothing new is taken") {
  Bench bench;
  bench.Now = bench.Now + core::DurationMs{3001};
  bench.submit("r", true);
  CHECK(bench.lastError().Code == ErrorCode::Stale);
  CHECK(bench.lastError().Outcome == RunOutcome::NotRun);
  CHECK(bench.Grants.empty());
}

TEST_CASE("what may be sent again") {
  struct Case {
    bool Idempotent;
    Error Failure;
    bool Retried;
    RunOutcome Told;
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
    Bench bench;
    bench.submit("r", c.Idempotent);
    bench.grantNext("v1");
    CHECK(bench.Dispatches[0].Call.FreshConnection == !c.Idempotent);
    bench.answerNext(c.Failure);
    CHECK(bench.Grants.size() == (c.Retried ? 1 : 0));
    if (!c.Retried) {
      CHECK(bench.lastError().Outcome == c.Told);
      continue;
    }
    CHECK(bench.Grants[0].Request.Exclude ==
          std::vector<core::VmId>{core::VmId("v1")});
  }
}

TEST_CASE("a request that fails everywhere is failed, not tried for ever") {
  Bench bench;
  bench.submit("r", true);
  int sent = 0;
  while (!bench.Grants.empty()) {
    bench.grantNext();
    ++sent;
    bench.answerNext(http::Response{500, {}, "broken"});
  }
  CHECK(sent == 3);
  REQUIRE(bench.Answers.size() == 1);
  CHECK(bench.Answers[0].value().Status == 500);
}

TEST_CASE("retries stay a small part of the load") {
  Bench bench;
  int sent = 0;
  constexpr int Requests = 1000;
  for (int i = 0; i < Requests; ++i) {
    bench.submit(("r" + std::to_string(i)).c_str(), true);
    while (!bench.Grants.empty()) {
      bench.grantNext();
      ++sent;
      bench.answerNext(http::Response{500, {}, ""});
    }
  }
  CHECK(sent <= Requests * 11 / 10);
}

TEST_CASE("a grant that comes late goes back unused") {
  struct Case {
    const char *Name;
    std::function<void(Bench &, model::Grant &)> Spoil;
  };
  const std::vector<Case> cases = {
      {"after a freeze",
       [](Bench &b, model::Grant &) {
         b.Now = b.Now + core::DurationMs{2500};
       }},
      {"from an earlier owner",
       [](Bench &b, model::Grant &) {
         (void)b.Core.inventory({Pool, 4});
       }},
      {"after the caller went",
       [](Bench &b, model::Grant &) {
         b.Core.callerDisconnected(RequestId("r"));
       }},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Bench bench;
    bench.submit("r", false);
    const auto asked = bench.Grants.front();
    bench.Grants.pop_front();
    auto grant = bench.grantFor(asked.Request);
    c.Spoil(bench, grant);
    asked.Done(grant);
    CHECK(bench.Dispatches.empty());
    REQUIRE(!bench.Releases.empty());
    CHECK(bench.Releases.back().Id == grant.Id);
    CHECK(bench.Releases.back().End == RunEnd::Unused);
  }
}

TEST_CASE("late and doubled answers of an endpoint are dropped") {
  Bench bench;
  bench.submit("r", true);
  bench.grantNext();
  const auto first = bench.Dispatches.front();
  bench.answerNext(MaybeSent);
  bench.grantNext("v2");
  first.Done(http::Response{200, {}, "late"});
  CHECK(bench.Answers.empty());
  const auto second = bench.Dispatches.front();
  bench.answerNext(http::Response{200, {}, "right"});
  second.Done(http::Response{200, {}, "twice"});
  REQUIRE(bench.Answers.size() == 1);
  CHECK(bench.Answers[0].value().Body == "right");
}

TEST_CASE("a request with a key is recorded before it is dispatched") {
  Bench bench;
  bench.submit("r", false, "order");
  CHECK(bench.Grants.empty());
  REQUIRE(bench.Changes.size() == 1);
  bench.Changes.front().Done(state::ChangeResult{true, 2, {}});
  CHECK(bench.Grants.size() == 1);
  bench.grantNext();
  bench.answerNext(http::Response{200, {}, ""});
  const auto &end =
      std::get<state::FinishIntent>(bench.Changes.back().Change.What);
  CHECK(end.Status == 200);
}

TEST_CASE("the outcomes of a record") {
  struct Case {
    const char *Name;
    Result<state::ChangeResult> Answer;
    RunOutcome Told;
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
    Bench bench;
    bench.submit("r", false, "order");
    bench.Changes.front().Done(c.Answer);
    CHECK(bench.Grants.empty());
    CHECK(bench.lastError().Outcome == c.Told);
  }
}

TEST_CASE("two arrivals with one id have records of their own") {
  Bench bench;
  bench.submit("r", false, "order");
  const auto first =
      std::get<state::BeginIntent>(bench.Changes.back().Change.What).Request;
  bench.Changes.back().Done(state::ChangeResult{true, 2, {}});
  bench.grantNext();
  bench.answerNext(http::Response{200, {}, ""});
  bench.submit("r", false, "order");
  const auto second =
      std::get<state::BeginIntent>(bench.Changes.back().Change.What).Request;
  CHECK(first != second);
}

TEST_CASE("without an owner a request asks again, and is refused in time") {
  Bench bench;
  bench.submit("r", true);
  const auto asked = bench.Grants.front();
  bench.Grants.pop_front();
  asked.Done(Error{ErrorCode::NotLeader, "moved"});
  CHECK(bench.Answers.empty());
  bench.Now = bench.Now + core::DurationMs{60};
  bench.Core.tick();
  CHECK(bench.Grants.size() == 1);
  bench.Grants.front().Done(Error{ErrorCode::NotLeader, "moved"});
  bench.Now = bench.Now + core::DurationMs{40000};
  bench.Core.tick();
  CHECK(bench.lastError().Code == ErrorCode::NoCapacity);
  CHECK(bench.lastError().Outcome == RunOutcome::NotRun);
}

TEST_CASE("who goes away cuts only what may be cut") {
  Bench bench;
  bench.submit("get", true);
  bench.grantNext();
  bench.Core.callerDisconnected(RequestId("get"));
  CHECK(bench.Aborted.size() == 1);
  CHECK(bench.Releases.back().End == RunEnd::Cancelled);
  bench.submit("post", false);
  bench.grantNext();
  bench.Core.callerDisconnected(RequestId("post"));
  CHECK(bench.Aborted.size() == 1);
  CHECK(bench.Core.openRequests() == 1);
}

TEST_CASE("only the key of a request cancels it") {
  Bench bench;
  bench.submit("r", true);
  CHECK(!bench.Core.cancelFor(RequestId("r"), "other"));
  CHECK(bench.Core.cancelFor(RequestId("r"), "k"));
  CHECK(bench.lastError().Code == ErrorCode::Cancelled);
  CHECK(bench.lastError().Outcome == RunOutcome::NotRun);
}

TEST_CASE("an inventory lists what runs") {
  Bench bench;
  bench.submit("waits", true);
  bench.submit("runs", true);
  bench.Grants.pop_front();
  bench.grantNext();
  const auto inventory = bench.Core.inventory({Pool, 4});
  REQUIRE(inventory.Items.size() == 1);
  CHECK(inventory.Items[0].Team == Team);
}
