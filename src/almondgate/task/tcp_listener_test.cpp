#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/wakeup.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <sys/resource.h>
#include <vector>

using namespace almondgate;
using task::TcpListener;

namespace {

constexpr core::DurationMs Deadline{5000};

/// A loop with a listener that counts its connections.
struct Listening {
  task::Loop Loop;
  int Connections = 0;
  TcpListener Listener{Loop, [this](uv_stream_s *stream) {
                         auto accepted = std::make_shared<task::TcpStream>(
                             Loop, task::TcpStreamHooks{});
                         CHECK(bool(accepted->accept(stream)));
                         ++Connections;
                         Loop.stop();
                       }};
  task::TcpStream Caller{Loop, {}};

  /// Runs the loop until a connection is accepted or the deadline has passed.
  void connectTo(const core::Address &address) {
    Caller.connect(address, [](const core::Status &) {});
    task::Timer late(Loop);
    late.once(Deadline, [this] { Loop.stop(); });
    Loop.run();
  }
};

} // namespace

TEST_CASE("a listener waits until its address is no longer in use") {
  const auto address = testing::freeAddress();
  Listening first;
  REQUIRE(bool(first.Listener.listen(address)));
  CHECK(first.Listener.isListening());

  Listening second;
  REQUIRE(bool(second.Listener.listen(address)));
  CHECK_FALSE(second.Listener.isListening());
  task::Timer timer(second.Loop);
  timer.every({20}, [&] {
    first.Listener.close();
    first.Loop.defer([&] { first.Loop.stop(); });
    first.Loop.run();
    if (second.Listener.isListening())
      second.Loop.stop();
  });
  second.Loop.run();
  timer.stop();
  second.connectTo(address);
  CHECK(second.Connections == 1);
}

TEST_CASE("a listener waits until its address is assigned to the VM") {
  Listening fixture;
  // An address of TEST-NET-1 (RFC 5737) is assigned to no VM.
  REQUIRE(bool(fixture.Listener.listen({"192.0.2.1", 7000})));
  CHECK_FALSE(fixture.Listener.isListening());
}

TEST_CASE("a waiting listener can be drained and closed") {
  const auto address = testing::freeAddress();
  Listening first;
  REQUIRE(bool(first.Listener.listen(address)));
  Listening second;
  REQUIRE(bool(second.Listener.listen(address)));
  second.Listener.closeOnceDrained();
  first.Listener.close();
  task::Timer late(second.Loop);
  late.once({250}, [&] { second.Loop.stop(); });
  second.Loop.run();
  CHECK_FALSE(second.Listener.isListening());
}

TEST_CASE("a connection that arrives right before the close is accepted") {
  const auto address = testing::freeAddress();
  Listening fixture;
  REQUIRE(bool(fixture.Listener.listen(address)));
  int iterations = 0;
  std::unique_ptr<task::Wakeup> wakeup;
  // Runs after the poll of the second iteration, which would be the last.
  wakeup = std::make_unique<task::Wakeup>(fixture.Loop, [&] {
    if (++iterations == 1)
      wakeup->request();
    else
      fixture.Caller.connect(address, [](const core::Status &) {});
  });
  wakeup->request();
  fixture.Listener.closeOnceDrained();
  task::Timer late(fixture.Loop);
  late.once(Deadline, [&] { fixture.Loop.stop(); });
  fixture.Loop.run();
  CHECK(fixture.Connections == 1);
}

TEST_CASE("a listener refuses what is no address") {
  Listening fixture;
  CHECK_FALSE(bool(fixture.Listener.listen({"localhost", 7000})));
}

namespace {

/// A listener that may hold few connections.
struct Limited {
  task::Loop Loop;
  core::Address At = testing::freeAddress();
  size_t Limit = 2;
  int Pauses = 0;
  std::vector<std::shared_ptr<task::TcpStream>> Held;
  std::vector<std::shared_ptr<task::TcpStream>> Callers;
  TcpListener Listener{
      Loop, task::TcpListenerHooks{
                .OnConnection =
                    [this](uv_stream_s *stream) {
                      Held.push_back(std::make_shared<task::TcpStream>(
                          Loop, task::TcpStreamHooks{}));
                      CHECK(bool(Held.back()->accept(stream)));
                    },
                .MayAccept = [this] { return Held.size() < Limit; },
                .OnPause = [this] { ++Pauses; }}};

  Limited() { REQUIRE(bool(Listener.listen(At))); }

  void connect() {
    Callers.push_back(
        std::make_shared<task::TcpStream>(Loop, task::TcpStreamHooks{}));
    Callers.back()->connect(At, [](const core::Status &) {});
  }
  void run(core::DurationMs time) {
    task::Timer end(Loop);
    end.once(time, [this] { Loop.stop(); });
    Loop.run();
  }
};

/// Lowers the process's limit of descriptors for its lifetime.
struct LoweredLimit {
  rlimit Before{};
  explicit LoweredLimit(rlim_t n) {
    ::getrlimit(RLIMIT_NOFILE, &Before);
    const rlimit lowered{n, Before.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~LoweredLimit() { ::setrlimit(RLIMIT_NOFILE, &Before); }
};

} // namespace

TEST_CASE("a listener at its limit accepts again when a connection closes") {
  Limited fixture;
  for (int i = 0; i < 5; ++i)
    fixture.connect();
  fixture.run({50});
  CHECK(fixture.Held.size() == 2);
  fixture.Held.erase(fixture.Held.begin());
  fixture.Listener.resume();
  fixture.run({50});
  CHECK(fixture.Held.size() == 2);
  fixture.Listener.resume();
  CHECK(fixture.Held.size() == 2);
  // Without a call of resume() it tries again by itself.
  fixture.Limit = 5;
  fixture.run({250});
  CHECK(fixture.Held.size() == 4);
}

// Guards against a listener that polls while it may not accept.
TEST_CASE("a listener at its limit doesn't run without a pause") {
  Limited fixture;
  fixture.Limit = 0;
  for (int i = 0; i < 3; ++i)
    fixture.connect();
  rusage before{};
  ::getrusage(RUSAGE_SELF, &before);
  fixture.run({500});
  rusage after{};
  ::getrusage(RUSAGE_SELF, &after);
  CHECK(after.ru_utime.tv_sec * 1000000 + after.ru_utime.tv_usec -
            before.ru_utime.tv_sec * 1000000 - before.ru_utime.tv_usec <
        200000);
  fixture.Listener.close();
}

// Guards against libuv's loop around a failing accept(), which never returned.
TEST_CASE("a listener without descriptors pauses and keeps its queue") {
  Limited fixture;
  fixture.connect();
  {
    const LoweredLimit limit(3);
    fixture.run({350});
    CHECK(fixture.Held.empty());
    CHECK(fixture.Pauses >= 1);
    CHECK(fixture.Pauses <= 4);
    CHECK(fixture.Listener.isListening());
  }
  fixture.run({250});
  CHECK(fixture.Held.size() == 1);
}
