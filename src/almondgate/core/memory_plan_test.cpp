#include "almondgate/core/byte_budget.hpp"
#include "almondgate/core/memory_plan.hpp"

#include <doctest/doctest.h>

using namespace almondgate::core;

TEST_CASE("the shares of a memory limit leave room for the process itself") {
  for (const int64_t mb : {0, 32, 160, 256, 260, 384}) {
    const MemoryPlan plan = planMemory(mb);
    const size_t shares =
        plan.Requests + plan.Responses + plan.Peers + plan.Orders + plan.Jobs;
    CHECK(shares <= plan.Limit / 100 * 60);
  }
  CHECK(planMemory(0) == planMemory(DefaultMemoryLimitMb));
}

TEST_CASE("a byte budget refuses what would exceed its limit") {
  ByteBudget budget(100);
  CHECK(budget.tryReserve(60));
  CHECK_FALSE(budget.tryReserve(41));
  CHECK(budget.tryReserve(40));
  budget.add(10);
  CHECK(budget.exceeded());
  CHECK_FALSE(budget.tryReserve(1));
  budget.release(110);
  CHECK(budget.used() == 0);
  CHECK(budget.peak() == 110);
  CHECK(budget.refused() == 2);
  CHECK(budget.tryReserve(100));
}
