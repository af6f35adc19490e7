#include "almondgate/protocol/config_answer_codec.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::protocol;

TEST_CASE("an answer with a configuration is decoded as it was encoded") {
  std::string source(100, 'x');
  source += '\0';
  const jobs::ConfigAnswer answer{12, source, "m-2", 7};
  CHECK(decodeConfigAnswer(encodeConfigAnswer(answer)).value() == answer);
  CHECK(decodeConfigAnswer(encodeConfigAnswer({})).value() ==
        jobs::ConfigAnswer{});
}

// The source is the last part, so a cut in it can't be told from its end; the
// transport delivers a reply as a whole.
TEST_CASE("an answer that is cut before its configuration is corrupt") {
  const auto bytes = encodeConfigAnswer({12, "", "m-2", 7});
  for (size_t n = 0; n < bytes.size(); ++n) {
    const auto answer = decodeConfigAnswer(bytes.substr(0, n));
    REQUIRE(!answer);
    CHECK(answer.error().Code == core::ErrorCode::Corrupt);
  }
  const auto other = decodeConfigAnswer(std::string("\0\0\0\x03no!", 7));
  REQUIRE(!other);
  CHECK(other.error().Code == core::ErrorCode::Corrupt);
}
