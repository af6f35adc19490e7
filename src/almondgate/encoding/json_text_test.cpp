#include "almondgate/encoding/json_text.hpp"

#include <doctest/doctest.h>

using namespace almondgate::encoding;
using nlohmann::json;

namespace {

constexpr std::string_view Kept[] = {"a", "b"};
constexpr JsonBounds Small{Kept, 4, 8};
constexpr JsonBounds All{{}, 4, 8};

std::string repeated(size_t n, const std::string &text) {
  std::string out;
  for (size_t i = 0; i < n; ++i)
    out += text;
  return out;
}

std::string refusalOf(const std::string &text, const JsonBounds &bounds) {
  try {
    (void)parseJson(text, bounds);
    return {};
  } catch (const json::exception &e) {
    return errorText(e);
  }
}

} // namespace

TEST_CASE("members with other names are skipped, whatever they hold") {
  const std::string large = "[" + repeated(1000, "{\"a\":[]},") + "1]";
  CHECK(parseJson(R"({"x":)" + large + R"(,"a":[1,{"b":2,"y":3}],"z":{}})",
                  Small) == json::parse(R"({"a":[1,{"b":2}]})"));
  constexpr size_t Deep = 500000;
  const std::string nested = repeated(Deep, "[") + repeated(Deep, "]");
  CHECK(parseJson(R"({"x":)" + nested + R"(,"a":1})", Small) ==
        json::parse(R"({"a":1})"));
  CHECK(parseJson(R"({"x":1,"a":2})", All) == json::parse(R"({"x":1,"a":2})"));
}

TEST_CASE("text that is not JSON is refused also where it is skipped") {
  for (const auto *text : {"", "{", R"({"x":[1,})", R"({"x":1e400})",
                           R"({"a":1}})", "{\"x\":\"\xff\"}"})
    CHECK_FALSE(refusalOf(text, Small).empty());
}

// Guards against a body of a valid size whose tree takes more memory than the
// process may have.
TEST_CASE("items and values beyond the bounds are refused") {
  CHECK(refusalOf("[1,2,3,4]", Small).empty());
  CHECK(refusalOf("[1,2,3,4,5]", Small).find("more than 4 items") !=
        std::string::npos);
  CHECK(refusalOf("[[1,2,3],[4,5,6]]", Small).find("more than 8 values") !=
        std::string::npos);
  CHECK_FALSE(refusalOf(R"({"a":1,"a":1,"a":1,"a":1,"a":1})", Small).empty());
}

TEST_CASE("what is nested too deeply becomes null") {
  const JsonBounds bounds{{}, 100, 100};
  const auto value =
      parseJson(repeated(80, "[") + "1" + repeated(80, "]"), bounds);
  const json *inner = &value;
  size_t depth = 0;
  for (; inner->is_array(); inner = &inner->at(0))
    ++depth;
  CHECK(depth == 64);
  CHECK(inner->is_null());
  CHECK_FALSE(refusalOf(repeated(1000000, "["), bounds).empty());
}

// Guards against log lines and answers as long as the body that they quote.
TEST_CASE("an error does not quote a long input") {
  const auto text = refusalOf("\"" + repeated(100000, "x"), Small);
  CHECK(text.size() < 400);
  CHECK(text.find("parse error") != std::string::npos);
}
