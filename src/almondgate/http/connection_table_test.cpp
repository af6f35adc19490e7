#include "almondgate/http/connection_table.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace almondgate;
using namespace almondgate::http;

namespace {

constexpr size_t KiB = 1024;
constexpr size_t Base = ConnectionTable::BaseBytes;

/// A table whose closed connections are recorded. Aborted ones stay open until
/// closed() is called.
struct TestTable {
  explicit TestTable(size_t requests, size_t responses = 1000 * KiB,
                     size_t connections = 1000)
      : Budget(std::make_shared<ServerBudget>(
            ServerBudget{core::ByteBudget(requests),
                         core::ByteBudget(responses), connections})),
        Table("test", Budget,
              {.Close =
                   [this](uint64_t id) {
                     Closed.push_back(id);
                     Table.closed(id);
                   },
               .Abort = [this](uint64_t id) { Aborted.push_back(id); },
               .Now = [this] { return Now; }}) {}

  uint64_t open() {
    const auto id = Table.open();
    REQUIRE(id);
    return *id;
  }

  /// Opens a connection with an incomplete request.
  uint64_t openWith(size_t bytes) {
    const uint64_t id = open();
    Table.receive(id);
    REQUIRE(Table.reserve(id, bytes));
    return id;
  }

  size_t requestBytes() const { return Budget->Requests.used(); }
  size_t answerBytes() const { return Budget->Responses.used(); }

  std::shared_ptr<ServerBudget> Budget;
  core::TimeMs Now{1000};
  std::vector<uint64_t> Closed;
  std::vector<uint64_t> Aborted;
  ConnectionTable Table;
};

using Ids = std::vector<uint64_t>;

} // namespace

TEST_CASE("bytes of a request are released after its answer") {
  TestTable t(1000 * KiB);
  const auto id = t.openWith(100 * KiB);
  CHECK(t.requestBytes() == Base + 100 * KiB);
  CHECK(t.Table.begin(id, 90 * KiB));
  CHECK(t.requestBytes() == Base + 190 * KiB);
  CHECK(t.Table.answer(id, 30 * KiB));
  CHECK(t.answerBytes() == 30 * KiB);
  t.Table.finish(id, 90 * KiB, 30 * KiB);
  CHECK(t.answerBytes() == 0);
  t.Table.release(id, 100 * KiB);
  CHECK(t.requestBytes() == Base);
  t.Table.closed(id);
  CHECK(t.requestBytes() == 0);
}

TEST_CASE("bytes of a request are released when its caller disconnects") {
  TestTable t(1000 * KiB);
  const auto incomplete = t.openWith(100 * KiB);
  const auto running = t.openWith(100 * KiB);
  const auto answered = t.openWith(100 * KiB);
  REQUIRE(t.Table.begin(running, 50 * KiB));
  REQUIRE(t.Table.begin(answered, 50 * KiB));
  REQUIRE(t.Table.answer(answered, 10 * KiB));
  for (const auto id : {incomplete, running, answered})
    t.Table.closed(id);
  CHECK(t.requestBytes() == 0);
  CHECK(t.answerBytes() == 0);
}

TEST_CASE("the largest incomplete request ends first, then the oldest") {
  TestTable t(480 * KiB);
  const auto small = t.openWith(1);
  const auto older = t.openWith(100 * KiB);
  const auto younger = t.openWith(100 * KiB);
  const auto largest = t.openWith(110 * KiB);
  const auto next = t.open();
  CHECK(t.Table.reserve(next, 100 * KiB));
  CHECK(t.Closed == Ids{largest});
  const auto last = t.open();
  CHECK(t.Table.reserve(last, 100 * KiB));
  CHECK(t.Closed == Ids{largest, older});
  CHECK(t.Budget->Requests.peak() <= t.Budget->Requests.limit());
  (void)small;
  (void)younger;
}

TEST_CASE("a request that holds more than all others is the one refused") {
  TestTable t(400 * KiB);
  t.openWith(60 * KiB);
  t.openWith(60 * KiB);
  const auto large = t.openWith(100 * KiB);
  CHECK_FALSE(t.Table.reserve(large, 200 * KiB));
  CHECK(t.Closed.empty());
  CHECK(t.Budget->Requests.refused() == 1);
}

// Guards against a flood of complete requests that wait for their answers.
TEST_CASE("running requests stay, and a small one is still accepted") {
  TestTable t(400 * KiB);
  for (int i = 0; i < 2; ++i)
    REQUIRE(t.Table.begin(t.openWith(80 * KiB), 78 * KiB));
  const auto large = t.openWith(0);
  CHECK_FALSE(t.Table.begin(large, 70 * KiB));
  const auto small = t.open();
  CHECK(t.Table.begin(small, 1 * KiB));
  CHECK(t.Closed.empty());
}

TEST_CASE("a request in the making ends after a while, an idle one stays") {
  TestTable t(400 * KiB);
  const auto idle = t.open();
  const auto slow = t.openWith(1);
  CHECK(t.Table.needsChecks());
  t.Now = t.Now + core::DurationMs{29000};
  t.Table.check();
  CHECK(t.Closed.empty());
  t.Now = t.Now + core::DurationMs{2000};
  t.Table.check();
  CHECK(t.Closed == Ids{slow});
  CHECK_FALSE(t.Table.needsChecks());
  (void)idle;
}

TEST_CASE("the largest unread answers give way to further ones") {
  TestTable t(1000 * KiB, 100 * KiB);
  Ids ids;
  for (const size_t size : {20 * KiB, 40 * KiB}) {
    ids.push_back(t.open());
    REQUIRE(t.Table.begin(ids.back(), 0));
    REQUIRE(t.Table.answer(ids.back(), size));
  }
  const auto early = t.open();
  REQUIRE(t.Table.begin(early, 0));
  CHECK_FALSE(t.Table.answer(early, 50 * KiB));
  CHECK(t.Aborted.empty());
  t.Now = t.Now + core::DurationMs{600};
  const auto late = t.open();
  REQUIRE(t.Table.begin(late, 0));
  CHECK(t.Table.answer(late, 50 * KiB));
  CHECK(t.Aborted == Ids{ids[1]});
  t.Table.closed(ids[1]);
  CHECK(t.answerBytes() == 70 * KiB);
}

TEST_CASE("an answer that stays unread ends its connection") {
  TestTable t(1000 * KiB);
  const auto id = t.open();
  REQUIRE(t.Table.begin(id, 0));
  REQUIRE(t.Table.answer(id, 1));
  t.Now = t.Now + core::DurationMs{11000};
  t.Table.check();
  t.Table.check();
  CHECK(t.Aborted == Ids{id});
}

TEST_CASE("at the bound of connections the oldest that waits gives way") {
  TestTable t(1000 * KiB, 1000 * KiB, 3);
  const auto running = t.open();
  REQUIRE(t.Table.begin(running, 0));
  const auto idle = t.open();
  const auto unread = t.open();
  REQUIRE(t.Table.begin(unread, 0));
  REQUIRE(t.Table.answer(unread, 1));
  const auto next = t.open();
  CHECK(t.Closed == Ids{idle});
  REQUIRE(t.Table.begin(next, 0));
  CHECK_FALSE(t.Table.open());
  t.Now = t.Now + core::DurationMs{600};
  CHECK(t.Table.open());
  CHECK(t.Aborted == Ids{unread});
}

TEST_CASE("several requests of a connection leak no budget") {
  TestTable t(1000 * KiB);
  const uint64_t id = t.open();
  CHECK(t.Table.begin(id, 1000));
  CHECK(t.Table.begin(id, 2000));
  CHECK(t.Table.answer(id, 100));
  CHECK(t.Table.answer(id, 200));
  t.Table.finish(id, 1000, 100);
  CHECK(t.answerBytes() == 200);
  t.Table.finish(id, 2000, 200);
  CHECK(t.answerBytes() == 0);
  t.Table.closed(id);
  CHECK(t.requestBytes() == 0);
}

TEST_CASE("the connection that has been idle longest is closed first") {
  TestTable t(1000 * KiB);
  const auto first = t.open();
  const auto second = t.open();
  CHECK_FALSE(t.Table.longestIdle());
  t.Now = t.Now + core::DurationMs{200};
  // The first connection was used again, so the second has been idle longer.
  REQUIRE(t.Table.begin(first, 0));
  REQUIRE(t.Table.answer(first, 1));
  t.Table.finish(first, 0, 1);
  CHECK(t.Table.longestIdle() == core::TimeMs{1000});
  t.Table.closeLongestIdle();
  CHECK(t.Closed == Ids{second});
  CHECK_FALSE(t.Table.longestIdle());
  t.Now = t.Now + core::DurationMs{200};
  t.Table.closeLongestIdle();
  CHECK(t.Closed == Ids{second, first});
}

// Guards against a server that closes connections whose requests are running,
// or whose first bytes are on their way.
TEST_CASE("only what waits for a while ends for further connections") {
  TestTable t(1000 * KiB);
  const auto running = t.open();
  REQUIRE(t.Table.begin(running, 0));
  const auto slow = t.openWith(1);
  CHECK_FALSE(t.Table.endSlowest());
  t.Now = t.Now + core::DurationMs{200};
  t.open();
  CHECK(t.Table.endSlowest());
  CHECK(t.Closed == Ids{slow});
  CHECK_FALSE(t.Table.endSlowest());
}

// Guards against the end of an idle HTTP/2 connection that has reset a stream.
TEST_CASE("a connection whose request was given up is idle again") {
  TestTable t(1000 * KiB);
  const auto id = t.openWith(100 * KiB);
  t.Table.cancelReceive(id);
  t.Now = t.Now + core::DurationMs{60000};
  t.Table.check();
  CHECK(t.Closed.empty());
  REQUIRE(t.Table.begin(id, KiB));
  t.Table.cancelReceive(id);
  CHECK(t.Table.answer(id, KiB));
  t.Table.finish(id, KiB, KiB);
  CHECK(t.Closed.empty());
}
