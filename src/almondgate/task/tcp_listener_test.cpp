#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/tcp_stream.hpp"
#include "almondgate/task/wakeup.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

#include <memory>

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
