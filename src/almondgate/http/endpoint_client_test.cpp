#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <list>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace almondgate;
using namespace almondgate::http;
using core::Address;
using core::ErrorCode;
using core::Result;
using core::RunOutcome;

namespace {

/// An endpoint that runs a script for each request.
class Scripted {
public:
  using Script = std::function<void(task::TcpStream &, int request,
                                    std::function<void()> close)>;

  Scripted(task::Loop &loop, Script script)
      : Loop(loop), At(testing::freeAddress()), Run(std::move(script)),
        Listener(loop, [this](uv_stream_s *l) { accept(l); }) {
    REQUIRE(bool(Listener.listen(At)));
  }

  const Address &address() const { return At; }
  int connections() const { return Connections; }
  int requests() const { return Requests; }

private:
  void accept(uv_stream_s *listener) {
    ++Connections;
    auto it = Streams.insert(Streams.end(), nullptr);
    task::TcpStreamHooks hooks;
    hooks.OnData = [this, it](std::string_view) {
      Run(**it, Requests++,
          [this, it] { Loop.defer([this, it] { it->reset(); }); });
    };
    *it = std::make_unique<task::TcpStream>(Loop, std::move(hooks));
    REQUIRE(bool((*it)->accept(listener)));
  }

  task::Loop &Loop;
  const Address At;
  const Script Run;
  std::list<std::unique_ptr<task::TcpStream>> Streams;
  int Connections = 0;
  int Requests = 0;
  task::TcpListener Listener;
};

struct Harness {
  task::Loop Loop;
  EndpointClient Client{Loop, {.MaxResponseBytes = 1000}};

  Result<Response> send(const Address &to, bool fresh = false,
                        int64_t timeout_ms = 2000) {
    EndpointCall call;
    call.To = to;
    call.Request = {"POST", "/x", {}, "body"};
    call.FreshConnection = fresh;
    call.Timeout = {timeout_ms};
    std::optional<Result<Response>> out;
    Client.send(call, [&](const Result<Response> &answer) {
      out = answer;
      Loop.stop();
    });
    Loop.run();
    return *out;
  }
};

const std::string Complete = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

} // namespace

TEST_CASE("the error code and outcome of each endpoint failure") {
  struct Case {
    const char *Name;
    Scripted::Script Script;
    ErrorCode Code;
  };
  const std::vector<Case> cases = {
      {"closed at once", [](auto &, int, auto close) { close(); },
       ErrorCode::EndpointFailed},
      {"short length",
       [](task::TcpStream &s, int, auto close) {
         s.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok");
         close();
       },
       ErrorCode::EndpointFailed},
      {"cut chunks",
       [](task::TcpStream &s, int, auto close) {
         s.write("HTTP/1.1 200 OK\r\ntransfer-encoding: "
                 "chunked\r\n\r\n2\r\nok\r\n");
         close();
       },
       ErrorCode::EndpointFailed},
      {"no provable end",
       [](task::TcpStream &s, int, auto close) {
         s.write("HTTP/1.1 200 OK\r\n\r\nok");
         close();
       },
       ErrorCode::EndpointFailed},
      {"silent", [](auto &, int, auto) {}, ErrorCode::DeadlineExceeded},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Name);
    Harness harness;
    Scripted endpoint(harness.Loop, c.Script);
    const auto answer = harness.send(endpoint.address(), false, 100);
    REQUIRE(!answer);
    CHECK(answer.error().Code == c.Code);
    CHECK(answer.error().Outcome == RunOutcome::Unknown);
    CHECK(endpoint.requests() == 1);
  }
}

TEST_CASE("a refused connection gives outcome NotRun") {
  Harness harness;
  const auto answer = harness.send(testing::freeAddress());
  REQUIRE(!answer);
  CHECK(answer.error().Outcome == RunOutcome::NotRun);
}

TEST_CASE("an idle connection is used again, but not for a fresh call") {
  Harness harness;
  Scripted endpoint(harness.Loop,
                    [](task::TcpStream &s, int, auto) { s.write(Complete); });
  CHECK(harness.send(endpoint.address()).value().Body == "ok");
  CHECK(harness.send(endpoint.address()).value().Body == "ok");
  CHECK(endpoint.connections() == 1);
  CHECK(harness.send(endpoint.address(), true).value().Body == "ok");
  CHECK(endpoint.connections() == 2);
}

TEST_CASE("a second response is never taken for that of the next request") {
  Harness harness;
  Scripted endpoint(harness.Loop, [](task::TcpStream &s, int request, auto) {
    s.write(request == 0 ? Complete + "HTTP/1.1 200 OK\r\ncontent-length: "
                                      "5\r\n\r\nwrong"
                         : Complete);
  });
  CHECK(harness.send(endpoint.address()).value().Body == "ok");
  CHECK(harness.send(endpoint.address()).value().Body == "ok");
  CHECK(endpoint.connections() == 2);
}

TEST_CASE("a late second response closes the idle connection") {
  Harness harness;
  task::Timer late(harness.Loop);
  Scripted endpoint(harness.Loop, [&](task::TcpStream &s, int request, auto) {
    s.write(Complete);
    if (request == 0)
      late.once({20}, [&s] { s.write(Complete); });
  });
  CHECK(harness.send(endpoint.address()).value().Body == "ok");
  task::Timer wait(harness.Loop);
  wait.once({100}, [&] { harness.Loop.stop(); });
  harness.Loop.run();
  CHECK(harness.send(endpoint.address()).value().Body == "ok");
  CHECK(endpoint.connections() == 2);
}

TEST_CASE(
    "a call that MaySend denies once the connection is open is not sent") {
  Harness harness;
  Scripted endpoint(harness.Loop,
                    [](auto &s, int, const auto &) { s.write(Complete); });
  std::vector<Result<Response>> answers;
  bool may_send = true;
  const auto send = [&] {
    EndpointCall call;
    call.To = endpoint.address();
    call.Request = {"POST", "/x", {}, "body"};
    harness.Client.send(
        call,
        [&](const Result<Response> &answer) {
          answers.push_back(answer);
          harness.Loop.stop();
        },
        [&] { return may_send; });
  };
  // MaySend is true at send() and false once the connection is open.
  send();
  may_send = false;
  harness.Loop.run();
  REQUIRE(answers.size() == 1);
  REQUIRE(!answers[0]);
  CHECK(answers[0].error().Outcome == RunOutcome::NotRun);
  CHECK(endpoint.requests() == 0);
  may_send = true;
  send();
  harness.Loop.run();
  REQUIRE(answers.size() == 2);
  CHECK(bool(answers[1]));
}

namespace {

/// A client with two connections, and endpoints that answer on request.
struct BudgetedClient {
  static constexpr task::DescriptorLimits Few{3, 2, 2, 4};

  task::Loop Loop;
  std::shared_ptr<task::DescriptorBudget> Budget =
      std::make_shared<task::DescriptorBudget>(
          Few, [this](auto fn) { Loop.defer(std::move(fn)); });
  EndpointClient Client{Loop, {}, Budget};
  /// The answers received, as "NAME ok" or "NAME OUTCOME CODE".
  std::vector<std::string> Log;

  uint64_t send(const Address &to, const std::string &name,
                int64_t timeout_ms = 2000) {
    EndpointCall call;
    call.To = to;
    call.Request = {"POST", "/x", {}, "body"};
    call.Timeout = {timeout_ms};
    return Client.send(call, [this, name](const Result<Response> &answer) {
      Log.push_back(name +
                    (answer ? " ok"
                            : std::string(" ") +
                                  core::outcomeName(answer.error().Outcome) +
                                  " " + core::errorName(answer.error().Code)));
    });
  }
  void run(int64_t ms) {
    task::Timer end(Loop);
    end.once({ms}, [this] { Loop.stop(); });
    Loop.run();
  }
};

const Scripted::Script AnswerAtOnce = [](task::TcpStream &s, int,
                                         const auto &) { s.write(Complete); };
const Scripted::Script NoAnswer = [](auto &, int, const auto &) {};

} // namespace

TEST_CASE("calls beyond the budget close the longest idle connection") {
  BudgetedClient t;
  std::list<Scripted> endpoints;
  for (int i = 0; i < 4; ++i)
    endpoints.emplace_back(t.Loop, AnswerAtOnce);
  for (auto &endpoint : endpoints) {
    t.send(endpoint.address(), "call");
    t.run(20);
  }
  CHECK(t.Log == std::vector<std::string>(4, "call ok"));
  CHECK(t.Budget->used(task::DescriptorKind::Outbound) == 2);
  // The last two connections were kept, the first one was closed.
  t.send(endpoints.back().address(), "again");
  t.run(20);
  CHECK(endpoints.back().connections() == 1);
  t.send(endpoints.front().address(), "again");
  t.run(20);
  CHECK(endpoints.front().connections() == 2);
}

TEST_CASE("calls without a connection wait in order of arrival") {
  BudgetedClient t;
  Scripted busy(t.Loop, NoAnswer);
  Scripted other(t.Loop, AnswerAtOnce);
  t.send(busy.address(), "a", 200);
  t.send(busy.address(), "b", 2000);
  for (const char *name : {"c", "d", "e"})
    t.send(other.address(), name);
  t.run(100);
  CHECK(t.Log.empty());
  CHECK(other.connections() == 0);
  t.run(300);
  CHECK(t.Log == std::vector<std::string>{"a unknown deadline-exceeded", "c ok",
                                          "d ok", "e ok"});
  // They shared the connection that became free.
  CHECK(other.connections() == 1);
}

// Guards against a start that is taken for one that may have run.
TEST_CASE("a call that waits too long fails as not sent") {
  BudgetedClient t;
  Scripted busy(t.Loop, NoAnswer);
  t.send(busy.address(), "a", 1000);
  t.send(busy.address(), "b", 1000);
  t.send(busy.address(), "late", 50);
  const uint64_t aborted = t.send(busy.address(), "aborted", 50);
  t.Client.abort(aborted);
  t.run(200);
  CHECK(t.Log == std::vector<std::string>{"late not-run deadline-exceeded"});
  CHECK(busy.requests() == 2);
}

TEST_CASE("a call to an endpoint with an idle connection does not wait") {
  BudgetedClient t;
  Scripted busy(t.Loop, NoAnswer);
  Scripted idle(t.Loop, AnswerAtOnce);
  t.send(idle.address(), "first");
  t.run(20);
  t.send(busy.address(), "busy");
  t.send(idle.address(), "second");
  t.run(20);
  CHECK(t.Log == std::vector<std::string>{"first ok", "second ok"});
  CHECK(idle.connections() == 1);
}

// Guards against calls that take effect after they were given up: closing the
// socket left their bytes to the kernel, which delivers them when a partition
// ends, and only a reset discards them.
TEST_CASE("a call that was given up is not delivered later") {
  for (const bool aborted : {false, true}) {
    CAPTURE(aborted);
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&at), sizeof at) ==
            0);
    REQUIRE(::listen(listener, 1) == 0);
    socklen_t size = sizeof at;
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size);
    Harness harness;
    const Address to{"127.0.0.1", ntohs(at.sin_port)};
    if (aborted) {
      EndpointCall call;
      call.To = to;
      call.Request = {"POST", "/x", {}, "body"};
      call.Timeout = {2000};
      const auto id =
          harness.Client.send(call, [](const Result<Response> &) {});
      task::Timer timer(harness.Loop);
      timer.once({50}, [&] {
        harness.Client.abort(id);
        harness.Loop.defer([&] { harness.Loop.stop(); });
      });
      harness.Loop.run();
    } else {
      REQUIRE_FALSE(bool(harness.send(to, false, 50)));
    }
    const int accepted = ::accept(listener, nullptr, nullptr);
    REQUIRE(accepted >= 0);
    // What had arrived before can still be read.
    std::array<char, 4096> buf{};
    ssize_t read = 0;
    do
      read = ::recv(accepted, buf.data(), buf.size(), 0);
    while (read > 0);
    const int error = errno;
    CHECK(read == -1);
    CHECK(error == ECONNRESET);
    ::close(accepted);
    ::close(listener);
  }
}
