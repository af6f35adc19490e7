#include "almondgate/policy/near_wait.hpp"
#include "almondgate/policy/remote_share.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace almondgate::policy;

namespace {

/// A task of 1 s that takes 2 s elsewhere, with time to spare.
NearWaitInput usual() {
  NearWaitInput input;
  input.NearRunMs = 1000;
  input.RemoteFactor = 2;
  input.ExpectedWaitMs = 200;
  input.SlackMs = 5000;
  return input;
}

struct Case {
  std::string Name;
  std::function<void(NearWaitInput &)> Edit;
  NearWaitDecision Expected;
};

NearWaitDecision wait(int64_t at_most_ms) {
  return {true, at_most_ms, NearWaitReason::Worthwhile};
}

NearWaitDecision leave(NearWaitReason reason) { return {false, 0, reason}; }

} // namespace

TEST_CASE("near wait: waits only while that saves time and the due time allows "
          "it") {
  using Reason = NearWaitReason;
  const std::vector<Case> cases = {
      {"a short wait", [](auto &) {}, wait(1000)},
      {"a free place", [](auto &i) { i.ExpectedWaitMs = 0; }, wait(1000)},
      {"just worthwhile", [](auto &i) { i.ExpectedWaitMs = 249; }, wait(1000)},
      {"saves too little", [](auto &i) { i.ExpectedWaitMs = 250; },
       leave(Reason::TooLong)},
      {"smaller factor",
       [](auto &i) {
         i.RemoteFactor = 1.25;
         i.ExpectedWaitMs = 63;
       },
       leave(Reason::TooLong)},
      {"larger factor",
       [](auto &i) {
         i.RemoteFactor = 3;
         i.ExpectedWaitMs = 499;
       },
       wait(2000)},
      {"factor of 1",
       [](auto &i) {
         i.RemoteFactor = 1;
         i.ExpectedWaitMs = 0;
       },
       leave(Reason::TooLong)},
      {"factor below 1", [](auto &i) { i.RemoteFactor = 0.5; },
       leave(Reason::TooLong)},
      {"a rack that frees nothing", [](auto &i) { i.ExpectedWaitMs.reset(); },
       leave(Reason::NoCapacity)},
      {"waited for a while", [](auto &i) { i.WaitedMs = 400; }, wait(600)},
      {"just before the bound",
       [](auto &i) {
         i.WaitedMs = 999;
         i.ExpectedWaitMs = 1;
       },
       wait(1)},
      {"expected after the bound", [](auto &i) { i.WaitedMs = 801; },
       leave(Reason::BoundReached)},
      {"expected after the last chance to be on time elsewhere",
       [](auto &i) { i.SlackMs = 1199; }, leave(Reason::DueTime)},
      {"the bound", [](auto &i) { i.WaitedMs = 1000; },
       leave(Reason::BoundReached)},
      {"the bound, with a place expected at once",
       [](auto &i) {
         i.WaitedMs = 1500;
         i.ExpectedWaitMs = 0;
       },
       leave(Reason::BoundReached)},
      {"a wait that became too long",
       [](auto &i) {
         i.WaitedMs = 400;
         i.ExpectedWaitMs = 300;
       },
       leave(Reason::TooLong)},
      {"the due time limits the wait", [](auto &i) { i.SlackMs = 1350; },
       wait(350)},
      {"the due time limits the rest of the wait",
       [](auto &i) {
         i.SlackMs = 1050;
         i.WaitedMs = 300;
         i.ExpectedWaitMs = 50;
       },
       wait(50)},
      {"the last chance to be on time elsewhere",
       [](auto &i) {
         i.SlackMs = 1000;
         i.WaitedMs = 350;
       },
       leave(Reason::DueTime)},
      {"just after the last chance",
       [](auto &i) {
         i.SlackMs = 990;
         i.WaitedMs = 360;
       },
       leave(Reason::DueTime)},
      {"only near is on time",
       [](auto &i) {
         i.SlackMs = 500;
         i.PoolIdle = true;
       },
       wait(1000)},
      {"only near is on time, after a longer wait",
       [](auto &i) {
         i.SlackMs = 700;
         i.ExpectedWaitMs = 499;
       },
       wait(1000)},
      {"late either way in a busy pool", [](auto &i) { i.SlackMs = -200; },
       wait(1000)},
      {"late either way in an idle pool",
       [](auto &i) {
         i.SlackMs = -200;
         i.PoolIdle = true;
       },
       leave(Reason::PoolIdle)},
      {"an idle pool with time to spare", [](auto &i) { i.PoolIdle = true; },
       wait(1000)},
  };
  for (const auto &row : cases) {
    CAPTURE(row.Name);
    NearWaitInput input = usual();
    row.Edit(input);
    const auto got = decideNearWait(input);
    CHECK(got.Wait == row.Expected.Wait);
    CHECK(got.AtMostMs == row.Expected.AtMostMs);
    CHECK(std::string(nearWaitReasonName(got.Reason)) ==
          nearWaitReasonName(row.Expected.Reason));
  }
}

// Guards against a wait that an expectation which is always wrong prolongs.
TEST_CASE("near wait: a wrong expectation costs at most what could be saved") {
  for (const double factor : {1.1, 1.5, 2.0, 3.0, 10.0})
    for (const int64_t freed_at : {0, 100, 500, 999, 1500, 4000, 100000}) {
      CAPTURE(factor);
      CAPTURE(freed_at);
      NearWaitInput input = usual();
      input.RemoteFactor = factor;
      input.SlackMs = 1000000;
      input.ExpectedWaitMs = 1;
      const auto remote_ms = int64_t(double(input.NearRunMs) * factor);
      const int64_t best = std::min(freed_at + input.NearRunMs, remote_ms);
      while (input.WaitedMs < freed_at && decideNearWait(input).Wait)
        ++input.WaitedMs;
      const bool near = input.WaitedMs >= freed_at;
      const int64_t took =
          input.WaitedMs + (near ? input.NearRunMs : remote_ms);
      CHECK(took < 2 * best);
    }
}

TEST_CASE("remote share: the run time near follows from the mean") {
  RemoteShare share;
  CHECK(share.nearRunMs(1000, 2) == 1000);
  for (int i = 0; i < 100; ++i)
    share.observe(i % 2 == 0);
  CHECK(share.nearRunMs(1500, 2) == 1000);
  // Old runs lose weight.
  for (int i = 0; i < 4000; ++i)
    share.observe(true);
  CHECK(share.nearRunMs(2000, 2) == doctest::Approx(1000).epsilon(0.01));
}
