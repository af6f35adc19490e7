#include "almondgate/watch/leader_tracker.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using core::Address;
using core::TimeMs;
using watch::LeaderTracker;

namespace {

const Address A{"10.0.0.1", 1};
const Address B{"10.0.0.2", 1};
const Address C{"10.0.0.3", 1};
const Address D{"10.0.0.4", 1};

} // namespace

TEST_CASE("members that are not the leader are skipped in turn") {
  LeaderTracker tracker({A, B, C});
  CHECK((tracker.select(TimeMs{0}) == A));
  tracker.recordNotLeader(A);
  CHECK((tracker.select(TimeMs{0}) == B));
  tracker.recordNotLeader(B);
  CHECK((tracker.select(TimeMs{0}) == C));
  tracker.recordNotLeader(C);
  CHECK((tracker.select(TimeMs{0}) == A));
}

TEST_CASE("a late result of an earlier member does not change the selection") {
  LeaderTracker tracker({A, B, C});
  tracker.recordNotLeader(A);
  tracker.recordTimeout(A, TimeMs{500});
  CHECK((tracker.select(TimeMs{500}) == B));
}

TEST_CASE("a frozen leader delays a call once, not in each round") {
  // Regression test: the leader froze and the others elected a new one after
  // 0.7 s, but callers kept waiting for the frozen member (observed on
  // havrehuset-sched, trouble-1).
  LeaderTracker tracker({A, B, C});
  tracker.recordTimeout(A, TimeMs{500});
  for (int64_t t = 500; t < 1500; t += 25) {
    const Address member = tracker.select(TimeMs{t});
    CHECK((member != A));
    tracker.recordNotLeader(member);
  }
  tracker.recordNotLeader(C);
  CHECK((tracker.select(TimeMs{1600}) == A));
}

TEST_CASE("if all members timed out, the selection does not change") {
  LeaderTracker tracker({A, B});
  tracker.recordTimeout(A, TimeMs{0});
  tracker.recordTimeout(B, TimeMs{0});
  CHECK((tracker.select(TimeMs{10}) == A));
}

TEST_CASE("a new member list keeps the selected member if it contains it") {
  LeaderTracker tracker({A, B, C});
  tracker.recordNotLeader(A);
  tracker.setMembers({D, C, B});
  CHECK((tracker.select(TimeMs{0}) == B));
  tracker.setMembers({C, D});
  CHECK((tracker.select(TimeMs{0}) == C));
  tracker.setMembers({});
  CHECK((tracker.select(TimeMs{0}) == C));
}

TEST_CASE("without members, no address is selected") {
  LeaderTracker tracker({});
  CHECK((tracker.select(TimeMs{0}) == Address{}));
  tracker.recordTimeout(A, TimeMs{0});
  tracker.setMembers({B});
  CHECK((tracker.select(TimeMs{0}) == B));
}
