#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <list>
#include <optional>
#include <random>

using namespace almondgate;
using namespace almondgate::protocol;
using core::Address;
using core::Error;
using core::ErrorCode;
using core::Result;

namespace {

constexpr const char *Secret = "the secret of the test";

struct Bench {
  task::Loop Loop;
  Address At = testing::freeAddress();
  std::vector<std::string> Refused;
  std::optional<Responder> Held;
  std::unique_ptr<RpcServer> Server;
  RpcClient Client;

  explicit Bench(const std::string &secret = Secret) : Client(Loop, {secret}) {
    startServer();
  }

  void startServer() {
    Server = std::make_unique<RpcServer>(
        Loop, RpcOptions{Secret},
        RpcServerHooks{
            [this](Method method, const std::string &body,
                   const Responder &respond) {
              if (method == Method::Grant)
                respond("got " + body);
              else if (method == Method::Release)
                respond(Error{ErrorCode::Conflict, "no"});
              else
                Held = respond;
            },
            [this](const std::string &why) { Refused.push_back(why); }});
    REQUIRE(bool(Server->listen(At)));
  }

  Result<std::string> call(Method method, const std::string &body = "",
                           int64_t timeout_ms = 2000) {
    std::optional<Result<std::string>> out;
    Client.call(At, method, body, {timeout_ms}, [&](const auto &reply) {
      out = reply;
      Loop.stop();
    });
    Loop.run();
    return *out;
  }
};

} // namespace

TEST_CASE("a call gets its answer or the peer's error") {
  Bench bench;
  CHECK(bench.call(Method::Grant, "x").value() == "got x");
  const std::string large(3 << 20, 'y');
  CHECK(bench.call(Method::Grant, large).value() == "got " + large);
  CHECK(bench.call(Method::Release).error().Code == ErrorCode::Conflict);
}

TEST_CASE("a wrong secret is refused, with a reason in the log") {
  Bench bench("some other secret");
  CHECK(bench.call(Method::Grant).error().Code == ErrorCode::Unauthenticated);
  REQUIRE(bench.Refused.size() == 1);
  CHECK(bench.Refused[0].find("secret") != std::string::npos);
}

TEST_CASE("a call that is not answered ends in time") {
  Bench bench;
  CHECK(bench.call(Method::Watch, "", 100).error().Code ==
        ErrorCode::DeadlineExceeded);
  // The late answer meets nobody.
  (*bench.Held)(std::string("late"));
  CHECK(bench.call(Method::Grant, "z").value() == "got z");
}

TEST_CASE("a peer that goes ends its calls, and may come back") {
  Bench bench;
  std::optional<Result<std::string>> out;
  bench.Client.call(bench.At, Method::Watch, "", {5000},
                    [&](const auto &reply) {
                      out = reply;
                      bench.Loop.stop();
                    });
  task::Timer kill(bench.Loop);
  kill.once({50}, [&] { bench.Server.reset(); });
  bench.Loop.run();
  CHECK(out->error().Code == ErrorCode::Unavailable);
  bench.startServer();
  for (int i = 0; i < 100; ++i) {
    const auto again = bench.call(Method::Grant, "a");
    if (again)
      break;
    task::Timer pause(bench.Loop);
    pause.once({20}, [&] { bench.Loop.stop(); });
    bench.Loop.run();
  }
  CHECK(bench.call(Method::Grant, "b").value() == "got b");
}

TEST_CASE("many calls share one connection and keep their answers apart") {
  Bench bench;
  int right = 0;
  constexpr int Calls = 500;
  int done = 0;
  for (int i = 0; i < Calls; ++i) {
    const std::string body = std::to_string(i);
    bench.Client.call(bench.At, Method::Grant, body, {5000},
                      [&, body](const auto &reply) {
                        right += reply && reply.value() == "got " + body;
                        if (++done == Calls)
                          bench.Loop.stop();
                      });
  }
  bench.Loop.run();
  CHECK(right == Calls);
}

TEST_CASE("random bytes on the inner port end their connection only") {
  Bench bench;
  std::mt19937_64 dice(3);
  std::list<std::unique_ptr<task::TcpStream>> streams;
  for (int i = 0; i < 50; ++i) {
    auto &stream = streams.emplace_back(
        std::make_unique<task::TcpStream>(bench.Loop, task::TcpStreamHooks{}));
    std::string bytes =
        i % 2 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : std::string();
    for (int n = 0; n < 400; ++n)
      bytes.push_back(char(dice()));
    stream->connect(bench.At, [raw = stream.get(), bytes](const auto &status) {
      if (status)
        raw->write(bytes);
    });
  }
  task::Timer wait(bench.Loop);
  wait.once({200}, [&] { bench.Loop.stop(); });
  bench.Loop.run();
  CHECK(bench.call(Method::Grant, "still").value() == "got still");
}
