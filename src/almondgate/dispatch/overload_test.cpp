#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;

// A leader that accepts jobs while it is behind with its work renews leases and
// starts accepted work ever later.
TEST_CASE("new jobs are refused while the leader's loop is behind") {
  Fleet fleet(2);
  fleet.submit(jobId(1), oneStep(1, 1, 2000));
  fleet.LoopDelayMs = 150;
  fleet.advance(1000);
  const auto refused = fleet.submit(jobId(2), oneStep(1, 1, 100));
  CHECK(refused.Outcome == jobs::JobOutcome::Refused);
  CHECK(refused.RetryAfterMs == 600);
  // Accepted work goes on, and calls about it are answered.
  fleet.advance(2000);
  // A refused job must not have been recorded, not even late.
  CHECK(!fleet.ledger().Jobs.contains(jobs::JobId(jobId(2))));
  CHECK(fleet.stateOf(jobId(1)) == jobs::JobState::Completed);
  fleet.LoopDelayMs = 0;
  fleet.advance(500);
  CHECK(fleet.submit(jobId(2), oneStep(1, 1, 100)).Outcome ==
        jobs::JobOutcome::Done);
  fleet.checkViolations();
}
