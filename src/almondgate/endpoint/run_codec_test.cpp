#include "almondgate/endpoint/run_codec.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::endpoint;

TEST_CASE("a run inventory survives encoding and decoding") {
  dispatch::RunInventory sent;
  sent.ClockMs = 7;
  sent.Running.push_back({{jobs::JobId("j"), 0, 1, 2}, 3, "saved", 40, 5});
  const auto read = decodeRun<dispatch::RunInventory>(encodeRun(sent));
  REQUIRE(read);
  CHECK(read.value() == sent);
}

TEST_CASE("a message that is nested too deeply is reported as corrupt") {
  constexpr char ListOfOne = char(0x81);
  constexpr size_t Depth = 2000000;
  const std::string bytes(Depth, ListOfOne);
  const auto read = decodeRun<dispatch::RunInventory>(bytes);
  REQUIRE(!read);
  CHECK(read.error().Code == core::ErrorCode::Corrupt);
}
