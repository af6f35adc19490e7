#include "almondgate/endpoint/run_codec.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::endpoint;

TEST_CASE("a list of runs comes back as it went") {
  dispatch::RunInventory sent;
  sent.ClockMs = 7;
  sent.Running.push_back({{jobs::JobId("j"), 0, 1, 2}, 3, "saved", 40, 5});
  const auto read = decodeRun<dispatch::RunInventory>(encodeRun(sent));
  REQUIRE(read);
  CHECK(read.value() == sent);
}

TEST_CASE("an answer that is nested too deeply is corrupt, not the end") {
  constexpr char ListOfOne = char(0x81);
  constexpr size_t Depth = 2000000;
  const std::string bytes(Depth, ListOfOne);
  const auto read = decodeRun<dispatch::RunInventory>(bytes);
  REQUIRE(!read);
  CHECK(read.error().Code == core::ErrorCode::Corrupt);
}
