#include "almondgate/control/heartbeat_member.hpp"
#include "almondgate/control/heartbeat_relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace almondgate;
using control::HeartbeatRelay;
using core::Address;
using core::Error;
using core::ErrorCode;
using jobs::HeartbeatReply;

namespace {

const std::vector<Address> Members = {
    {"10.0.1.1", 7000}, {"10.0.2.1", 7000}, {"10.0.3.1", 7000}};

jobs::EndpointHeartbeat heartbeatOf(int n, int64_t sequence = 1) {
  jobs::EndpointHeartbeat out;
  out.Facts.Id = jobs::EndpointId("e-" + std::to_string(n));
  out.Sequence = sequence;
  return out;
}

/// A relay whose calls to the leader are answered on request.
struct RelayFixture {
  std::vector<jobs::HeartbeatBatch> Sent;
  control::HeartbeatRelayHooks::OnReply Answer;
  std::vector<jobs::EndpointHeartbeat> SentAlone;
  std::vector<std::function<void(core::Status)>> AloneAnswers;
  std::vector<std::function<void()>> Deferred;
  core::TimeMs Now{1000};
  std::map<int, std::string> Answers;
  HeartbeatRelay Relay{
      {.Send =
           [this](const auto &batch, auto done) {
             Sent.push_back(batch);
             Answer = std::move(done);
           },
       .SendOne =
           [this](const auto &heartbeat, auto done) {
             SentAlone.push_back(heartbeat);
             AloneAnswers.push_back(std::move(done));
           },
       .Defer = [this](auto, auto fn) { Deferred.push_back(std::move(fn)); },
       .Now = [this] { return Now; }}};

  void add(int n) {
    Relay.add(heartbeatOf(n), [this, n](const auto &result) {
      Answers[n] = result ? "ok" : result.error().Text;
    });
  }
  void answer(const core::Result<HeartbeatReply> &reply) {
    const auto done = std::exchange(Answer, nullptr);
    done(reply);
  }
  void acceptAll() {
    HeartbeatReply reply;
    reply.Results.resize(Sent.back().Heartbeats.size(), {true, {}});
    reply.Members = Members;
    answer(reply);
  }
};

} // namespace

TEST_CASE("one batch is in flight, and the rest go in the next one") {
  RelayFixture t;
  for (int i = 0; i < 4; ++i)
    t.add(i);
  REQUIRE(t.Sent.size() == 1);
  CHECK(t.Sent[0].Heartbeats.size() == 1);
  t.acceptAll();
  REQUIRE(t.Sent.size() == 2);
  REQUIRE(t.Sent[1].Heartbeats.size() == 3);
  CHECK(t.Sent[1].Heartbeats[0] == heartbeatOf(1));
  t.acceptAll();
  CHECK(t.Answers.size() == 4);
  CHECK(t.Sent.size() == 2);
}

TEST_CASE("a batch is bounded") {
  RelayFixture t;
  for (int i = 0; i < 600; ++i)
    t.add(i);
  while (t.Answer) {
    CHECK(t.Sent.back().Heartbeats.size() <= 256);
    t.acceptAll();
  }
  CHECK(t.Answers.size() == 600);
}

TEST_CASE("each heartbeat of a batch has a result of its own") {
  RelayFixture t;
  t.add(0);
  t.acceptAll();
  t.add(1);
  for (int i = 2; i < 5; ++i)
    t.add(i);
  t.acceptAll();
  HeartbeatReply reply;
  reply.Results = {{true, {}}, {false, {ErrorCode::Unavailable, "unknown"}}};
  reply.Members = Members;
  t.answer(reply);
  CHECK(t.Answers[2] == "ok");
  CHECK(t.Answers[3] == "unknown");
  // The answer is too short.
  CHECK(t.Answers[4] != "ok");
  CHECK(t.Answers.size() == 5);
}

TEST_CASE(
    "a batch that finds no leader is sent again, and fails after a while") {
  RelayFixture t;
  const Error not_leader{ErrorCode::NotLeader, "not the leader"};
  t.add(0);
  t.answer(not_leader);
  REQUIRE(t.Deferred.size() == 1);
  t.add(1);
  CHECK(t.Sent.size() == 1);
  t.Deferred[0]();
  REQUIRE(t.Sent.size() == 2);
  CHECK(t.Sent[1] == t.Sent[0]);
  t.Now = t.Now + core::DurationMs{1500};
  t.answer(not_leader);
  CHECK(t.Answers[0] == "not the leader");
  // The next batch follows by itself.
  REQUIRE(t.Sent.size() == 3);
  t.acceptAll();
  CHECK(t.Answers[1] == "ok");
}

TEST_CASE("a failed call fails its heartbeats and not the next ones") {
  RelayFixture t;
  t.add(0);
  t.add(1);
  t.answer(Error{ErrorCode::DeadlineExceeded, "late"});
  CHECK(t.Answers[0] == "late");
  t.acceptAll();
  CHECK(t.Answers[1] == "ok");
}

// Guards against heartbeats that are lost while members are upgraded.
TEST_CASE("a leader that knows no batches gets single heartbeats") {
  RelayFixture t;
  t.add(0);
  t.add(1);
  t.add(2);
  t.acceptAll();
  t.answer(Error{ErrorCode::NotFound, "unknown method"});
  REQUIRE(t.SentAlone ==
          std::vector<jobs::EndpointHeartbeat>{heartbeatOf(1), heartbeatOf(2)});
  t.AloneAnswers[1](core::ok());
  CHECK(t.Answers.size() == 1);
  t.AloneAnswers[0](Error{ErrorCode::Unavailable, "no"});
  CHECK(t.Answers[1] == "no");
  CHECK(t.Answers[2] == "ok");
}

TEST_CASE("heartbeats are spread evenly over the members") {
  constexpr int Endpoints = 3000;
  std::map<Address, int> counts;
  for (int i = 0; i < Endpoints; ++i)
    ++counts[*control::chooseHeartbeatMember(heartbeatOf(i).Facts.Id, Members)];
  REQUIRE(counts.size() == Members.size());
  for (const auto &[member, n] : counts) {
    CHECK(n > 900);
    CHECK(n < 1100);
  }
}

// Guards against a member's loss that moves the connections of all endpoints.
TEST_CASE("only the endpoints of a lost member move to another one") {
  const std::vector<Address> left = {Members[2], Members[0]};
  for (int i = 0; i < 500; ++i) {
    const auto id = heartbeatOf(i).Facts.Id;
    const auto before = control::chooseHeartbeatMember(id, Members);
    const auto after = control::chooseHeartbeatMember(id, left);
    if (before != Members[1])
      CHECK(after == before);
    else
      CHECK(std::find(left.begin(), left.end(), *after) != left.end());
  }
  CHECK_FALSE(control::chooseHeartbeatMember(heartbeatOf(1).Facts.Id, {}));
}
