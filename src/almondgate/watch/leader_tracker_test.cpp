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

TEST_CASE("members that do not lead are passed over in turn") {
  LeaderTracker guess({A, B, C});
  CHECK((guess.ask(TimeMs{0}) == A));
  guess.recordNotLeader(A);
  CHECK((guess.ask(TimeMs{0}) == B));
  guess.recordNotLeader(B);
  CHECK((guess.ask(TimeMs{0}) == C));
  guess.recordNotLeader(C);
  CHECK((guess.ask(TimeMs{0}) == A));
}

TEST_CASE("an answer of a member asked earlier does not move the guess back") {
  LeaderTracker guess({A, B, C});
  guess.recordNotLeader(A);
  guess.recordTimeout(A, TimeMs{500});
  CHECK((guess.ask(TimeMs{500}) == B));
}

TEST_CASE("a frozen leader holds a call up once, not at each round") {
  // Found on havrehuset-sched, trouble-1: the leader froze, the others had
  // elected another after 0.7 s, and callers still waited for the frozen one.
  LeaderTracker guess({A, B, C});
  guess.recordTimeout(A, TimeMs{500});
  for (int64_t t = 500; t < 1500; t += 25) {
    const Address asked = guess.ask(TimeMs{t});
    CHECK((asked != A));
    guess.recordNotLeader(asked);
  }
  guess.recordNotLeader(C);
  CHECK((guess.ask(TimeMs{1600}) == A));
}

TEST_CASE("where all are silent the guess stays") {
  LeaderTracker guess({A, B});
  guess.recordTimeout(A, TimeMs{0});
  guess.recordTimeout(B, TimeMs{0});
  CHECK((guess.ask(TimeMs{10}) == A));
}

TEST_CASE("new members keep the guess where it is one of them") {
  LeaderTracker guess({A, B, C});
  guess.recordNotLeader(A);
  guess.setMembers({D, C, B});
  CHECK((guess.ask(TimeMs{0}) == B));
  guess.setMembers({C, D});
  CHECK((guess.ask(TimeMs{0}) == C));
  guess.setMembers({});
  CHECK((guess.ask(TimeMs{0}) == C));
}
