#include "almondgate/encoding/cbor.hpp"

#include "counted_cbor.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace almondgate;
using namespace almondgate::encoding;
using nlohmann::json;

namespace {

/// What a parser gave: a value, or the text of its error.
std::string resultOf(const std::string &bytes,
                     json (*parse)(std::string_view)) {
  try {
    return parse(bytes).dump(-1, ' ', true, json::error_handler_t::replace);
  } catch (const json::exception &e) {
    return e.what();
  }
}

json parseByLibrary(std::string_view bytes) { return json::from_cbor(bytes); }

} // namespace

// Guards against strings that are read as a whole and end at another byte than
// those that the library reads, for each form of the length.
TEST_CASE("strings of all lengths are read as the library reads them") {
  for (const size_t size : {0, 1, 23, 24, 255, 256, 65535, 65536, 70000}) {
    std::string text(size, 'x');
    for (size_t i = 0; i < size; i += 7)
      text[i] = char(i);
    const json value = {{"a", text}, {text, 1}, {"b", {text, "c"}}};
    std::string bytes;
    json::to_cbor(value, bytes);
    CHECK(parseCbor(bytes) == value);
    CHECK(json::from_cbor(bytes) == value);
  }
  const std::string wide = std::string("\x7b\0\0\0\0\0\0\0\2ab", 11);
  CHECK(parseCbor(wide) == "ab");
  const std::string parts = "\x7f\x62"
                            "ab\x61"
                            "c\xff";
  CHECK(parseCbor(parts) == "abc");
}

// Guards against input that is cut, or whose lengths are larger than it, and
// that is taken or refused otherwise than by the library.
TEST_CASE("cut and changed input is taken or refused as by the library") {
  std::string bytes;
  json::to_cbor({{"name", std::string(30, 'n')},
                 {"list", {1, 2.5, "t", nullptr, true}},
                 {"text", std::string(300, 't')}},
                bytes);
  for (size_t n = 0; n < bytes.size(); ++n) {
    const auto cut = bytes.substr(0, n);
    CHECK(resultOf(cut, parseCbor) == resultOf(cut, parseByLibrary));
  }
  for (const char *huge : {"\x7b\xff\xff\xff\xff\xff\xff\xff\xff"
                           "ab",
                           "\x7a\xff\xff\xff\xff"
                           "ab"})
    CHECK(resultOf(huge, parseCbor) == resultOf(huge, parseByLibrary));
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    std::string changed = bytes;
    for (int k = 0; k < 2; ++k)
      changed[random() % changed.size()] = char(random());
    CHECK(resultOf(changed, parseCbor) == resultOf(changed, parseByLibrary));
  }
}

// Guards against strings that are read byte by byte, which takes milliseconds
// for a large configuration or snapshot.
TEST_CASE("a large string is read as a whole") {
  constexpr size_t TextBytes = 550000;
  // A byte each for the types of the object, the name and the text, four for
  // the length of the text, a read each for the name and the text, and one that
  // finds the end.
  constexpr size_t Reads = 3 + 4 + 2 + 1;
  const json value = {{"text", std::string(TextBytes, 'x')}};
  std::string bytes;
  json::to_cbor(value, bytes);
  size_t reads = 0;
  CHECK(parseCborCounted(bytes, reads) == value);
  CHECK(reads == Reads);
}
