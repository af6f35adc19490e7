#include "test_jobs.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

constexpr int Vms = 8;
// Each pool keeps two VMs.
constexpr int64_t Surplus = 6;

} // namespace

// Found on fde-goud-large, scale-1: the first job of a pool parked all its VMs
// at once, although more work was about to follow.
TEST_CASE("a surplus counts from when the demand of the pool is known") {
  Fleet fleet(Vms);
  fleet.advance(4000);
  REQUIRE(fleet.OrderedMoves == 0);
  fleet.submit(jobId(1), oneStep(1, 10, 100));
  fleet.advance(1400);
  CHECK(fleet.OrderedMoves == 0);
  fleet.advance(400);
  CHECK(fleet.OrderedMoves == Surplus);
  // The next leader doesn't know the demand until the next job arrives.
  for (int i = 0; i < Surplus; ++i)
    fleet.addVm("p");
  const int64_t before = fleet.OrderedMoves;
  fleet.changeLeader();
  fleet.advance(5000);
  REQUIRE(fleet.OrderedMoves == before);
  fleet.submit(jobId(2), oneStep(1, 10, 100));
  fleet.advance(1400);
  CHECK(fleet.OrderedMoves == before);
  fleet.advance(400);
  CHECK(fleet.OrderedMoves == before + Surplus);
  fleet.checkViolations();
}
