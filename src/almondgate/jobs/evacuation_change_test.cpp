#include "almondgate/jobs/evacuation_change.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::jobs;

// Guards against zones that can't be named in a path, a log line or a record.
TEST_CASE("names of zones are checked") {
  const auto is_valid = [](const std::string &zone) {
    return bool(checkEvacuation({core::ZoneId(zone), true, "ann", "", {}}));
  };
  CHECK(is_valid("brussel-a"));
  CHECK(is_valid("a b~"));
  CHECK(is_valid(std::string(MaxZoneBytes, 'z')));
  CHECK_FALSE(is_valid(""));
  CHECK_FALSE(is_valid(std::string(MaxZoneBytes + 1, 'z')));
  for (const char *zone : {"a/b", "a\nb", "caf\xc3\xa9", "\x7f", "\x1f"})
    CHECK_FALSE(is_valid(zone));
  CHECK_FALSE(is_valid(std::string("a\0b", 3)));
}

TEST_CASE("a reason is short and has no control characters") {
  EvacuationChange change;
  change.Zone = core::ZoneId("z");
  change.Reason = "caf\xc3\xa9 is on fire";
  CHECK(bool(checkEvacuation(change)));
  change.Reason = "a\nb";
  CHECK_FALSE(bool(checkEvacuation(change)));
  change.Reason = std::string(MaxReasonBytes + 1, 'r');
  CHECK_FALSE(bool(checkEvacuation(change)));
}
