#include "almondgate/http/server.hpp"

#include "almondgate/http/connection_table.hpp"
#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/timer.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <memory>
#include <optional>
#include <stdexcept>

using namespace almondgate;
using namespace almondgate::http;

// Guards against one request that ends the whole process.
TEST_CASE("a request whose handler throws is answered, and so is the next") {
  task::Loop loop;
  Server server(loop, {}, [](const Exchange &exchange) {
    if (exchange.Request.Target == "/throw")
      throw std::runtime_error("\xff is not text");
    exchange.Respond(jsonResponse(200, "{}"));
  });
  const auto at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  EndpointClient client(loop, {});
  std::vector<int> statuses;
  std::function<void(std::vector<std::string>)> send =
      [&](std::vector<std::string> targets) {
        EndpointCall call;
        call.To = at;
        call.Request = {"GET", targets.back(), {{"host", "h"}}, ""};
        targets.pop_back();
        client.send(std::move(call), [&, targets](const auto &answer) {
          statuses.push_back(answer ? answer.value().Status : 0);
          if (targets.empty())
            loop.stop();
          else
            send(targets);
        });
      };
  send({"/", "/throw", "/", "/throw"});
  loop.run();
  CHECK(statuses == std::vector<int>{500, 200, 500, 200});
  CHECK(server.openRequests() == 0);
}

namespace {

/// A client connection that collects what it receives.
struct TestCaller {
  explicit TestCaller(task::Loop &loop)
      : Stream(loop,
               {.OnData = [this](std::string_view data) { Received += data; },
                .OnClose = [](const core::Error &) {}}) {}

  bool isAnswered() const { return Received.starts_with("HTTP/1.1 200"); }

  std::string Received;
  task::TcpStream Stream;
};

constexpr const char *Post =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

void runFor(task::Loop &loop, core::DurationMs time) {
  task::Timer timer(loop);
  timer.once(time, [&loop] { loop.stop(); });
  loop.run();
}

} // namespace

// Guards against requests that a planned stop cuts, since their connections
// wait to be accepted when the listener closes.
TEST_CASE("connections that wait when a server stops accepting are served") {
  constexpr int Callers = 20;
  constexpr core::DurationMs Time{300};
  task::Loop loop;
  task::Loop caller_loop;
  Server server(loop, {}, [](const Exchange &exchange) {
    exchange.Respond(jsonResponse(200, "{}"));
  });
  const auto at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < Callers; ++i) {
    callers.push_back(std::make_unique<TestCaller>(caller_loop));
    auto &stream = callers.back()->Stream;
    stream.connect(at, [&stream](const core::Status &) { stream.write(Post); });
  }
  runFor(caller_loop, Time);
  server.stopAccepting();
  runFor(loop, Time);
  runFor(caller_loop, Time);
  for (const auto &caller : callers)
    CHECK(caller->isAnswered());
  CHECK(server.isIdle());
}

// Guards against requests that a planned stop cuts, since the process ends
// between the acceptance of their connection and their first byte.
TEST_CASE("a server isn't idle until a new connection has sent a request") {
  constexpr core::DurationMs Time{50};
  task::Loop loop;
  Server server(loop, {}, [](const Exchange &exchange) {
    exchange.Respond(jsonResponse(200, "{}"));
  });
  const auto at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  CHECK(server.isIdle());
  TestCaller caller(loop);
  caller.Stream.connect(at, [](const core::Status &) {});
  runFor(loop, Time);
  server.drain();
  server.stopAccepting();
  runFor(loop, Time);
  CHECK_FALSE(server.isIdle());
  caller.Stream.write(Post);
  runFor(loop, Time);
  CHECK(caller.isAnswered());
  CHECK(server.isIdle());
}

TEST_CASE("a connection that closes without a request leaves a server idle") {
  constexpr core::DurationMs Time{50};
  task::Loop loop;
  Server server(loop, {}, [](const Exchange &) {});
  const auto at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  {
    TestCaller caller(loop);
    caller.Stream.connect(at, [](const core::Status &) {});
    runFor(loop, Time);
    CHECK_FALSE(server.isIdle());
  }
  runFor(loop, Time);
  CHECK(server.isIdle());
}

namespace {

constexpr size_t KiB = 1024;
constexpr core::DurationMs ShortTime{50};

/// A server with a small budget that answers with `Answer`, and its callers.
struct BudgetedServer {
  explicit BudgetedServer(
      const std::optional<task::DescriptorLimits> &limits = std::nullopt)
      : Descriptors(limits ? std::make_shared<task::DescriptorBudget>(
                                 *limits,
                                 [this](auto fn) { Loop.defer(std::move(fn)); })
                           : nullptr),
        Http(Loop, options(), [this](const Exchange &exchange) {
          if (!Answer.empty())
            exchange.Respond(jsonResponse(200, Answer));
          else
            Unanswered.push_back(exchange.Respond);
        }) {
    // As the programs do.
    std::signal(SIGPIPE, SIG_IGN);
    REQUIRE(bool(Http.listen(At)));
  }

  ServerOptions options() const {
    ServerOptions out;
    out.Budget = Budget;
    return out;
  }

  TestCaller &send(const std::string &data) {
    Callers.push_back(std::make_unique<TestCaller>(Loop));
    auto &stream = Callers.back()->Stream;
    stream.connect(
        At, [&stream, data](const core::Status &) { stream.write(data); });
    runFor(Loop, ShortTime);
    return *Callers.back();
  }

  size_t requestBytes() const { return Budget->Requests.used(); }
  size_t answerBytes() const { return Budget->Responses.used(); }

  task::Loop Loop;
  const core::Address At = testing::freeAddress();
  /// Requests wait in Unanswered if it is empty.
  std::string Answer = "{}";
  std::vector<std::function<void(const Response &)>> Unanswered;
  /// Null without limits.
  std::shared_ptr<task::DescriptorBudget> Descriptors;
  std::shared_ptr<ServerBudget> Budget = std::make_shared<ServerBudget>(
      ServerBudget{core::ByteBudget(2000 * KiB), core::ByteBudget(2000 * KiB),
                   100, Descriptors});
  Server Http;
  std::vector<std::unique_ptr<TestCaller>> Callers;
};

std::string post(size_t length, size_t sent) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

} // namespace

TEST_CASE("a server counts what its input buffers hold") {
  BudgetedServer server;
  auto &caller = server.send(post(200 * KiB, 200 * KiB - 1));
  // The buffer starts at 8 KiB, which the base includes, and doubles.
  CHECK(server.requestBytes() == ConnectionTable::BaseBytes + 248 * KiB);
  caller.Stream.write("x");
  runFor(server.Loop, ShortTime);
  CHECK(caller.isAnswered());
  CHECK(server.requestBytes() == ConnectionTable::BaseBytes);
  caller.Stream.write(Post);
  runFor(server.Loop, ShortTime);
  CHECK(server.requestBytes() == ConnectionTable::BaseBytes);
  server.Callers.clear();
  runFor(server.Loop, ShortTime);
  CHECK(server.requestBytes() == 0);
  CHECK(server.answerBytes() == 0);
}

TEST_CASE("a server releases the bytes of callers that disconnect") {
  BudgetedServer server;
  server.Answer.clear();
  server.send(post(200 * KiB, 200 * KiB - 1));
  server.send(post(100 * KiB, 1));
  CHECK(server.requestBytes() >= 200 * KiB);
  server.Callers.clear();
  runFor(server.Loop, ShortTime);
  CHECK(server.requestBytes() == 0);
}

// Guards against a process that is killed at its memory limit since callers
// hold back the last byte of their bodies.
TEST_CASE("bodies without their last byte end before the budget is used up") {
  constexpr int Callers = 20;
  BudgetedServer server;
  for (int i = 0; i < Callers; ++i)
    server.send(post(200 * KiB, 200 * KiB - 1));
  CHECK(server.Budget->Requests.peak() <= server.Budget->Requests.limit());
  CHECK(server.send(Post).isAnswered());
  CHECK(server.Callers.front()->Received.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a whole request beyond the budget is refused before it runs") {
  BudgetedServer server;
  server.Answer.clear();
  for (int i = 0; i < 5; ++i)
    server.send(post(200 * KiB, 200 * KiB));
  CHECK(server.Callers.back()->Received.starts_with("HTTP/1.1 503"));
  CHECK(server.Budget->Requests.peak() <= server.Budget->Requests.limit());
  server.Answer = "{}";
  CHECK(server.send(Post).isAnswered());
}

TEST_CASE("a declared length above the limit is refused before its body") {
  BudgetedServer server;
  const auto &caller = server.send(post(1000 * KiB, 0));
  CHECK(caller.Received.starts_with("HTTP/1.1 413"));
}

TEST_CASE("answers that nobody reads stay within the budget") {
  constexpr int Callers = 40;
  BudgetedServer server;
  server.Answer = std::string(400 * KiB, 'x');
  task::Loop caller_loop;
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < Callers; ++i) {
    callers.push_back(std::make_unique<TestCaller>(caller_loop));
    auto &stream = callers.back()->Stream;
    stream.connect(server.At, [&stream](const core::Status &) {
      for (int n = 0; n < 4; ++n)
        stream.write(Post);
    });
  }
  runFor(caller_loop, ShortTime);
  runFor(server.Loop, ShortTime);
  CHECK(server.answerBytes() > 0);
  CHECK(server.Budget->Responses.peak() <= server.Budget->Responses.limit());
  server.Answer = "{}";
  CHECK(server.send(Post).isAnswered());
}

// Guards against a planned stop that ends by a signal, since a request arrives
// after the objects that its handler uses are destroyed.
TEST_CASE("a destroyed server calls its handler no more") {
  task::Loop loop;
  const auto at = testing::freeAddress();
  int calls = 0;
  TestCaller caller(loop);
  {
    Server server(loop, {}, [&calls](const Exchange &exchange) {
      ++calls;
      exchange.Respond(jsonResponse(200, "{}"));
    });
    REQUIRE(bool(server.listen(at)));
    caller.Stream.connect(at, [](const core::Status &) {});
    runFor(loop, ShortTime);
    caller.Stream.write(Post);
    runFor(loop, ShortTime);
    CHECK(calls == 1);
  }
  caller.Stream.write(Post);
  runFor(loop, ShortTime);
  CHECK(calls == 1);
}

TEST_CASE("a destroyed server calls no disconnect hook") {
  task::Loop loop;
  const auto at = testing::freeAddress();
  int disconnects = 0;
  auto caller = std::make_unique<TestCaller>(loop);
  {
    Server server(loop, {}, [&](const Exchange &exchange) {
      exchange.OnDisconnect([&] { ++disconnects; });
    });
    REQUIRE(bool(server.listen(at)));
    caller->Stream.connect(at, [](const core::Status &) {});
    runFor(loop, ShortTime);
    caller->Stream.write(Post);
    runFor(loop, ShortTime);
  }
  caller.reset();
  runFor(loop, core::DurationMs{600});
  CHECK(disconnects == 0);
}

namespace {

/// A server that may hold three connections.
struct CrowdedServer : BudgetedServer {
  CrowdedServer() : BudgetedServer(task::DescriptorLimits{4, 3, 3, 4}) {}

  size_t open() const {
    return Descriptors->used(task::DescriptorKind::Inbound);
  }
};

} // namespace

TEST_CASE("a server at its limit closes idle connections for new ones") {
  CrowdedServer server;
  for (int i = 0; i < 10; ++i) {
    CHECK(server.send(Post).isAnswered());
    CHECK(server.open() <= 3);
    runFor(server.Loop, ShortTime);
  }
  server.Callers.clear();
  runFor(server.Loop, ShortTime);
  CHECK(server.open() == 0);
}

// Guards against silent callers that keep others out.
TEST_CASE("a request is served while silent callers hold all connections") {
  constexpr core::DurationMs Time{1500};
  CrowdedServer server;
  for (int i = 0; i < 20; ++i)
    server.send(i % 2 == 0 ? "" : "GET / HTTP/1.1\r\nHost:");
  auto &caller = server.send(Post);
  runFor(server.Loop, Time);
  CHECK(caller.isAnswered());
  CHECK(server.open() <= 3);
}

// Guards against requests that are cut for want of a connection, and against a
// listener that never accepts again.
TEST_CASE("a server full of running requests accepts again once one ends") {
  CrowdedServer server;
  server.Answer.clear();
  for (int i = 0; i < 3; ++i)
    server.send(Post);
  server.Answer = "{}";
  auto &late = server.send(Post);
  runFor(server.Loop, {300});
  CHECK_FALSE(late.isAnswered());
  CHECK(server.open() == 3);
  server.Unanswered.front()(jsonResponse(200, "{}"));
  runFor(server.Loop, {300});
  CHECK(late.isAnswered());
  CHECK(server.Callers.front()->isAnswered());
}

namespace {

std::string http2Frame(uint8_t type, uint8_t flags, const std::string &payload,
                       char stream) {
  std::string out;
  for (const int shift : {16, 8, 0})
    out += char(payload.size() >> shift);
  out += char(type);
  out += char(flags);
  return out + std::string(3, '\0') + stream + payload;
}

} // namespace

// Guards against bodies in HTTP/2 streams that no budget counts.
TEST_CASE("incomplete bodies of HTTP/2 streams are counted until a reset") {
  constexpr size_t BodyBytes = size_t{96} * 1024;
  constexpr size_t FrameBytes = size_t{16} * 1024;
  constexpr core::DurationMs Wait{50};
  // :method POST, :scheme http, :path /, :authority h (RFC 7541, appendix A)
  const std::string post("\x83\x86\x84\x01\x01h", 6);
  task::Loop loop;
  ServerOptions options;
  options.Http2 = true;
  options.Budget =
      std::make_shared<ServerBudget>(ServerBudget::ofPlan(core::planMemory(0)));
  const auto &used = options.Budget->Requests;
  int requests = 0;
  Server server(loop, options, [&](const Exchange &exchange) {
    ++requests;
    exchange.Respond(jsonResponse(200, "{}"));
  });
  const auto at = testing::freeAddress();
  REQUIRE(bool(server.listen(at)));
  auto client = std::make_unique<TestCaller>(loop);
  auto &caller = *client;
  caller.Stream.connect(at, [](const core::Status &) {});
  runFor(loop, Wait);
  caller.Stream.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                      http2Frame(4, 0, "", 0) + http2Frame(1, 4, post, 1));
  for (size_t n = 0; n < BodyBytes; n += FrameBytes)
    caller.Stream.write(http2Frame(0, 0, std::string(FrameBytes, 'x'), 1));
  runFor(loop, Wait);
  CHECK(used.used() > BodyBytes);
  caller.Stream.write(http2Frame(3, 0, std::string(4, '\0'), 1));
  runFor(loop, Wait);
  CHECK(used.used() < 2 * ConnectionTable::BaseBytes);
  CHECK(requests == 0);
  caller.Stream.write(http2Frame(1, 5, post, 3));
  runFor(loop, Wait);
  CHECK(requests == 1);
  CHECK(used.used() < 2 * ConnectionTable::BaseBytes);
  client.reset();
  runFor(loop, Wait);
  CHECK(used.used() == 0);
}
