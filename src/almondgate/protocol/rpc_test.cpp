#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <list>
#include <malloc.h>
#include <optional>
#include <random>
#include <stdexcept>

using namespace almondgate;
using namespace almondgate::protocol;
using core::Address;
using core::Error;
using core::ErrorCode;
using core::Result;

namespace {

constexpr const char *Secret = "the secret of the test";

struct Fixture {
  task::Loop Loop;
  Address ServerAddress = testing::freeAddress();
  std::vector<std::string> Rejections;
  std::optional<Responder> PendingResponder;
  std::unique_ptr<RpcServer> Server;
  RpcClient Client;

  explicit Fixture(const std::string &secret = Secret)
      : Client(Loop, {secret}) {
    startServer();
  }

  void startServer() {
    Server = std::make_unique<RpcServer>(
        Loop, RpcOptions{Secret},
        RpcServerHooks{[this](Method method, const std::string &body,
                              const Responder &respond) {
                         if (method == Method::Grant)
                           respond("got " + body);
                         else if (method == Method::Release)
                           respond(Error{ErrorCode::Conflict, "no"});
                         else
                           PendingResponder = respond;
                       },
                       [this](const std::string &reason) {
                         Rejections.push_back(reason);
                       }});
    REQUIRE(bool(Server->listen(ServerAddress)));
  }

  Result<std::string> call(Method method, const std::string &body = "",
                           int64_t timeout_ms = 2000) {
    std::optional<Result<std::string>> out;
    Client.call(ServerAddress, method, body, {timeout_ms},
                [&](const auto &reply) {
                  out = reply;
                  Loop.stop();
                });
    Loop.run();
    return *out;
  }
};

} // namespace

TEST_CASE("a call receives its reply or the peer's error") {
  Fixture fixture;
  CHECK(fixture.call(Method::Grant, "x").value() == "got x");
  const std::string large(3 << 20, 'y');
  CHECK(fixture.call(Method::Grant, large).value() == "got " + large);
  CHECK(fixture.call(Method::Release).error().Code == ErrorCode::Conflict);
}

TEST_CASE("a call with a wrong secret is rejected and the reason reported") {
  Fixture fixture("some other secret");
  CHECK(fixture.call(Method::Grant).error().Code == ErrorCode::Unauthenticated);
  REQUIRE(fixture.Rejections.size() == 1);
  CHECK(fixture.Rejections[0].find("secret") != std::string::npos);
}

TEST_CASE("a call without a reply times out") {
  Fixture fixture;
  CHECK(fixture.call(Method::Watch, "", 100).error().Code ==
        ErrorCode::DeadlineExceeded);
  // A reply after the timeout has no effect.
  (*fixture.PendingResponder)(std::string("late"));
  CHECK(fixture.call(Method::Grant, "z").value() == "got z");
}

TEST_CASE("calls to a peer that exits fail, and succeed after it restarts") {
  Fixture fixture;
  std::optional<Result<std::string>> out;
  fixture.Client.call(fixture.ServerAddress, Method::Watch, "", {5000},
                      [&](const auto &reply) {
                        out = reply;
                        fixture.Loop.stop();
                      });
  task::Timer kill(fixture.Loop);
  kill.once({50}, [&] { fixture.Server.reset(); });
  fixture.Loop.run();
  CHECK(out->error().Code == ErrorCode::Unavailable);
  fixture.startServer();
  for (int i = 0; i < 100; ++i) {
    const auto again = fixture.call(Method::Grant, "a");
    if (again)
      break;
    task::Timer pause(fixture.Loop);
    pause.once({20}, [&] { fixture.Loop.stop(); });
    fixture.Loop.run();
  }
  CHECK(fixture.call(Method::Grant, "b").value() == "got b");
}

TEST_CASE("many calls share one connection and each receives its own reply") {
  Fixture fixture;
  int correct = 0;
  constexpr int Calls = 500;
  int done = 0;
  for (int i = 0; i < Calls; ++i) {
    const std::string body = std::to_string(i);
    fixture.Client.call(fixture.ServerAddress, Method::Grant, body, {5000},
                        [&, body](const auto &reply) {
                          correct += reply && reply.value() == "got " + body;
                          if (++done == Calls)
                            fixture.Loop.stop();
                        });
  }
  fixture.Loop.run();
  CHECK(correct == Calls);
}

TEST_CASE("random bytes on the inner port close only their own connection") {
  Fixture fixture;
  std::mt19937_64 generator(3);
  std::list<std::unique_ptr<task::TcpStream>> streams;
  for (int i = 0; i < 50; ++i) {
    auto &stream = streams.emplace_back(std::make_unique<task::TcpStream>(
        fixture.Loop, task::TcpStreamHooks{}));
    std::string bytes =
        i % 2 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : std::string();
    for (int n = 0; n < 400; ++n)
      bytes.push_back(char(generator()));
    stream->connect(fixture.ServerAddress,
                    [raw = stream.get(), bytes](const auto &status) {
                      if (status)
                        raw->write(bytes);
                    });
  }
  task::Timer wait(fixture.Loop);
  wait.once({200}, [&] { fixture.Loop.stop(); });
  fixture.Loop.run();
  CHECK(fixture.call(Method::Grant, "still").value() == "got still");
}

// nghttp2 keeps the closed streams of a server for its priority tree, as many
// as streams may be open.
TEST_CASE("a connection's memory does not grow with the calls that it served") {
  Fixture fixture;
  constexpr int Calls = 20000;
  constexpr size_t MaxGrowthBytes = size_t{1} << 20;
  CHECK(fixture.call(Method::Grant, "a"));
  const size_t before = mallinfo2().uordblks;
  for (int i = 0; i < Calls; ++i)
    if (!fixture.call(Method::Grant, "b"))
      FAIL("a call failed");
  CHECK(mallinfo2().uordblks < before + MaxGrowthBytes);
}

namespace {

constexpr size_t SmallBudget = size_t{1} << 20;
constexpr int64_t CallTimeoutMs = 500;

// A listener that accepts connections and reads nothing.
struct SilentPeer {
  Address At = testing::freeAddress();
  std::list<std::unique_ptr<task::TcpStream>> Accepted;
  task::TcpListener Listener;

  explicit SilentPeer(task::Loop &loop)
      : Listener(loop, [this, &loop](uv_stream_s *listener) {
          Accepted.push_back(
              std::make_unique<task::TcpStream>(loop, task::TcpStreamHooks{}));
          (void)Accepted.back()->accept(listener);
        }) {
    REQUIRE(bool(Listener.listen(At)));
  }
};

} // namespace

TEST_CASE("calls to a silent peer fill its share, and the others are served") {
  Fixture fixture;
  SilentPeer silent(fixture.Loop);
  RpcClient client(fixture.Loop, {Secret, SmallBudget, SmallBudget});
  constexpr int Calls = 100;
  const std::string body(SmallBudget / 20, 'x');
  int refused = 0;
  int timed_out = 0;
  const auto count = [&](const Result<std::string> &reply) {
    REQUIRE(!reply);
    const bool not_run = reply.error().Outcome == core::RunOutcome::NotRun;
    refused += reply.error().Code == ErrorCode::Overloaded && not_run;
    timed_out += reply.error().Code == ErrorCode::DeadlineExceeded;
    if (refused + timed_out == Calls)
      fixture.Loop.stop();
  };
  for (int i = 0; i < Calls; ++i)
    client.call(silent.At, Method::Job, body, {CallTimeoutMs}, count);
  CHECK(client.budget().Used <= SmallBudget / 2);
  std::optional<Result<std::string>> served;
  client.call(fixture.ServerAddress, Method::Grant, body, {CallTimeoutMs},
              [&](const auto &reply) { served = reply; });
  fixture.Loop.run();
  REQUIRE(served);
  CHECK(served->value() == "got " + body);
  CHECK(timed_out > 0);
  CHECK(refused > timed_out);
  CHECK(client.budget().Used == 0);
}

TEST_CASE("consensus messages are sent while large calls fill the budget") {
  Fixture fixture;
  SilentPeer first(fixture.Loop);
  SilentPeer second(fixture.Loop);
  RpcClient client(fixture.Loop, {Secret, SmallBudget, SmallBudget});
  const std::string body(SmallBudget / 20, 'x');
  for (int i = 0; i < 100; ++i)
    for (const auto *peer : {&first, &second})
      client.call(peer->At, Method::Job, body, {CallTimeoutMs},
                  [](const auto &) {});
  std::optional<Result<std::string>> sent;
  client.call(fixture.ServerAddress, Method::Consensus, "beat", {100},
              [&](const auto &reply) {
                sent = reply;
                fixture.Loop.stop();
              });
  fixture.Loop.run();
  // The server of the test never answers this method.
  CHECK(sent->error().Code == ErrorCode::DeadlineExceeded);
  CHECK(fixture.PendingResponder.has_value());
}

// Guards against a member that never caught up: entries of its log overtook
// each other, were refused, and were sent again.
TEST_CASE("calls of one method arrive in their order, whatever their size") {
  Fixture fixture;
  std::vector<size_t> arrived;
  const std::vector<size_t> sizes = {900000, 10, 700000, 500000, 10, 300000};
  RpcServer server(fixture.Loop, {Secret},
                   {[&](Method, const std::string &body, const Responder &) {
                      arrived.push_back(body.size());
                      if (arrived.size() == sizes.size())
                        fixture.Loop.stop();
                    },
                    [](const std::string &) {}});
  const Address at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  for (const size_t n : sizes)
    fixture.Client.call(at, Method::Consensus, std::string(n, 'x'), {5000},
                        [](const auto &) {});
  fixture.Loop.run();
  CHECK(arrived == sizes);
}

TEST_CASE("a body that is larger than the budget is sent and received alone") {
  Fixture fixture;
  RpcClient client(fixture.Loop, {Secret, 4 * SmallBudget, SmallBudget});
  const std::string body(2 * SmallBudget, 'x');
  int refused = 0;
  int done = 0;
  for (int i = 0; i < 3; ++i)
    client.call(fixture.ServerAddress, Method::Grant, body, {5000},
                [&](const auto &reply) {
                  refused +=
                      !reply && reply.error().Code == ErrorCode::Overloaded;
                  if (++done == 3)
                    fixture.Loop.stop();
                });
  fixture.Loop.run();
  CHECK(refused == 2);
  CHECK(client.budget().Used == 0);
}

TEST_CASE("a call that does not fit in the server is refused as not run") {
  Fixture fixture;
  int received = 0;
  RpcServer server(
      fixture.Loop, {Secret, 4 * SmallBudget, SmallBudget},
      {[&](Method, const std::string &, const Responder &) { ++received; },
       [](const std::string &) {}});
  const Address at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  constexpr int Calls = 3000;
  int refused = 0;
  int done = 0;
  for (int i = 0; i < Calls; ++i)
    fixture.Client.call(at, Method::Job, "x", {1000}, [&](const auto &reply) {
      const bool not_run =
          !reply && reply.error().Outcome == core::RunOutcome::NotRun;
      refused += not_run && reply.error().Code == ErrorCode::Overloaded;
      if (++done == Calls)
        fixture.Loop.stop();
    });
  fixture.Loop.run();
  CHECK(received > 0);
  CHECK(refused == Calls - received);
  CHECK(server.budget().Peak <= SmallBudget / 2);
}

// An exception that passes through C code ends the process.
TEST_CASE("a call whose handler throws is answered, and so is the next") {
  task::Loop loop;
  const Address at = testing::freeAddress();
  std::vector<std::string> failures;
  RpcServer server(
      loop, {Secret},
      {[](Method method, const std::string &, const Responder &respond) {
         if (method == Method::Release)
           throw std::runtime_error("a fault of the handler");
         respond(std::string("fine"));
       },
       [&](const std::string &text) { failures.push_back(text); }});
  REQUIRE(bool(server.listen(at)));
  RpcClient client(loop, {Secret});
  std::vector<std::string> outcomes;
  client.call(at, Method::Release, "", {2000}, [&](const auto &reply) {
    outcomes.push_back(reply ? "" : core::outcomeName(reply.error().Outcome));
    client.call(at, Method::Grant, "", {2000}, [&](const auto &next) {
      outcomes.push_back(next ? next.value() : "");
      loop.stop();
      throw std::runtime_error("a fault of the caller");
    });
  });
  loop.run();
  CHECK(outcomes == std::vector<std::string>{"unknown", "fine"});
  REQUIRE(failures.size() == 1);
  CHECK(failures[0].find("a fault of the handler") != std::string::npos);
}

// Guards against a member that its peers can't reach, since strangers or
// callers hold all inbound connections.
TEST_CASE(
    "a peer's connection is accepted while the inbound ones are used up") {
  constexpr task::DescriptorLimits Few{4, 3, 3, 4};
  task::Loop loop;
  const auto budget = std::make_shared<task::DescriptorBudget>(
      Few, [&loop](auto fn) { loop.defer(std::move(fn)); });
  const Address at = testing::freeAddress();
  RpcOptions options{Secret};
  options.Descriptors = budget;
  RpcServer server(loop, options,
                   {[](Method, const std::string &, const Responder &respond) {
                      respond(std::string("fine"));
                    },
                    [](const std::string &) {}});
  REQUIRE(bool(server.listen(at)));
  const auto run = [&loop](core::DurationMs time) {
    task::Timer end(loop);
    end.once(time, [&loop] { loop.stop(); });
    loop.run();
  };
  std::vector<std::unique_ptr<task::TcpStream>> strangers;
  for (int i = 0; i < 10; ++i) {
    strangers.push_back(
        std::make_unique<task::TcpStream>(loop, task::TcpStreamHooks{}));
    strangers.back()->connect(at, [](const core::Status &) {});
  }
  run({50});
  CHECK(budget->used(task::DescriptorKind::Inbound) == 3);
  RpcClient client(loop, {Secret});
  std::string answer;
  client.call(at, Method::Grant, "", {2000}, [&](const auto &reply) {
    answer = reply ? reply.value() : reply.error().Text;
    loop.stop();
  });
  loop.run();
  CHECK(answer == "fine");
  CHECK(budget->used(task::DescriptorKind::Internal) == 1);
  CHECK(budget->used(task::DescriptorKind::Inbound) <= 3);
}
