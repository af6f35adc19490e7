#include "almondgate/task/loop.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace almondgate;

TEST_CASE("a destroyed loop drops its deferred functions") {
  int calls = 0;
  const auto held = std::make_shared<int>(0);
  {
    task::Loop loop;
    loop.defer([&calls, held] { ++calls; });
  }
  CHECK(calls == 0);
  CHECK(held.use_count() == 1);
}
