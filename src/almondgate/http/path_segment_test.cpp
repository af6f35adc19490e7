#include "almondgate/http/path_segment.hpp"

#include <doctest/doctest.h>

using namespace almondgate::http;

// Guards against a name that is changed on its way through a path.
TEST_CASE("a path segment survives encoding and decoding") {
  for (const char *text : {"brussel-a", "a b", "50%", "a/b?c#d", ""})
    CHECK(decodeSegment(encodeSegment(text)).value() == text);
  CHECK(encodeSegment("a b/") == "a%20b%2F");
  CHECK(decodeSegment("%41b").value() == "Ab");
  for (const char *bad : {"%", "%4", "%zz", "%-1", "a%"})
    CHECK(!decodeSegment(bad));
}
