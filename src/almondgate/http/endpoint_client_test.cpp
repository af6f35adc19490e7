#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <list>
#include <optional>

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
