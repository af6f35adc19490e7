#include "test_jobs.hpp"

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::JobState;

TEST_CASE("starts beyond the room for orders wait and are not lost") {
  Fleet fleet(2);
  fleet.OrderQueueMs = 50;
  fleet.StartRoom = 20;
  fleet.submit(jobId(1), oneStep(500, 0, 50));
  SUBCASE("of single tasks") {}
  SUBCASE("of single tasks and gangs") {
    auto gang = oneStep(10, 0, 50);
    gang.Steps[0].Gang = true;
    fleet.submit(jobId(2), gang);
  }
  fleet.advance(10000);
  CHECK(fleet.stateOf(jobId(1)) == JobState::Completed);
  CHECK(fleet.MostWaitingStarts <= fleet.StartRoom);
  fleet.checkViolations();
}

TEST_CASE("stops beyond the room for orders are sent later") {
  Fleet fleet(2);
  fleet.submit(jobId(1), oneStep(100, 1, 60000));
  fleet.advance(500);
  REQUIRE(fleet.running() == 100);
  fleet.OrderQueueMs = 50;
  fleet.StopRoom = 10;
  fleet.cancel(jobId(1));
  fleet.advance(3000);
  CHECK(fleet.running() == 0);
  CHECK(fleet.MostWaitingStops <= fleet.StopRoom);
  fleet.checkViolations();
}
