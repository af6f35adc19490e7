#include "almondgate/policy/cold_start.hpp"
#include "almondgate/policy/task_placement.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace almondgate;
using namespace almondgate::policy;

TEST_CASE("cold start: the capacity grows with time and with runs on time") {
  struct Case {
    std::string Name;
    ColdStartInput Input;
    ColdStartDecision Expected;
  };
  const std::vector<Case> cases = {
      {"nothing reported", {0, 0, 0, 0}, {false, 100}},
      {"negative", {-5, 0, 0, 0}, {false, 100}},
      {"just reported", {8000, 0, 0, 0}, {true, 25}},
      {"a clock that went back", {8000, -100, 0, 0}, {true, 25}},
      {"halfway", {8000, 4000, 0, 0}, {true, 62}},
      {"nearly over", {8000, 7999, 0, 0}, {true, 99}},
      {"over", {8000, 8000, 0, 0}, {false, 100}},
      {"a run on time", {8000, 0, 1, 0}, {true, 34}},
      {"late runs", {8000, 4000, 0, 3}, {true, 62}},
      {"late runs offset runs on time", {8000, 0, 2, 2}, {true, 25}},
      {"runs on time show that it is warm", {8000, 400, 8, 0}, {false, 100}},
  };
  for (const auto &row : cases) {
    CAPTURE(row.Name);
    const auto got = decideColdStart(row.Input);
    CHECK(got.Cold == row.Expected.Cold);
    CHECK(got.CapacityPercent == row.Expected.CapacityPercent);
  }
}

TEST_CASE("cold start: a run on time is about as long as expected") {
  CHECK(isOnTime(1000, 1000));
  CHECK(isOnTime(1500, 1000));
  CHECK_FALSE(isOnTime(1501, 1000));
}

TEST_CASE("cold start: a cold endpoint is chosen after warm ones") {
  PlacementRequirements need;
  need.Need.MilliCpus = 1000;
  PlacementOption cold;
  cold.Free.MilliCpus = cold.Capacity.MilliCpus = 4000;
  cold.Cold = true;
  PlacementOption warm = cold;
  warm.Cold = false;
  SUBCASE("that are less packed") { cold.Free.MilliCpus = 1000; }
  SUBCASE("that are away from the data") { warm.NearData = false; }
  SUBCASE("for long-running tasks") { need.LongRunning = true; }
  CHECK(choosePlacement({cold, warm}, need) == 1);
  warm.Free.MilliCpus = 500;
  CHECK(choosePlacement({cold, warm}, need) == 0);
}
