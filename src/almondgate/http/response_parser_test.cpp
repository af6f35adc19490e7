#include "response_parser.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace almondgate;
using namespace almondgate::http;

namespace {

enum class ParseResult { Complete, Incomplete, Refused };

ParseResult read(const std::string &bytes, size_t piece, bool head,
                 ResponseParser &parser) {
  for (size_t at = 0; at < bytes.size(); at += piece) {
    if (!parser.receive(std::string_view(bytes).substr(at, piece)))
      return ParseResult::Refused;
    if (parser.complete())
      return ParseResult::Complete;
  }
  (void)head;
  return ParseResult::Incomplete;
}

struct Case {
  const char *Name;
  std::string Bytes;
  ParseResult Expected;
  const char *Body = "";
  bool Head = false;
};

const std::vector<Case> Cases = {
    {"whole by length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
     ParseResult::Complete, "abc"},
    {"short of its length", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc",
     ParseResult::Incomplete},
    {"whole by chunks",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: "
     "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     ParseResult::Complete, "abc"},
    {"cut before the last chunk",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
     ParseResult::Incomplete},
    {"cut in the last chunk's end",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
     ParseResult::Incomplete},
    {"neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nabc",
     ParseResult::Refused},
    {"half a head", "HTTP/1.1 200 OK\r\ncontent-le", ParseResult::Incomplete},
    {"no HTTP", "SSH-2.0-OpenSSH\r\n", ParseResult::Refused},
    {"a bad chunk size",
     "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n",
     ParseResult::Refused},
    {"too large",
     "HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n" + std::string(200, 'x'),
     ParseResult::Refused},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", ParseResult::Complete},
    {"an answer to HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
     ParseResult::Complete, "", true},
    {"after an interim answer",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: "
     "1\r\n\r\nz",
     ParseResult::Complete, "z"},
};

constexpr size_t MaxBytes = 100;

} // namespace

TEST_CASE(
    "complete responses are recognized however they are split into reads") {
  for (const auto &c : Cases) {
    for (size_t piece = 1; piece <= c.Bytes.size(); ++piece) {
      CAPTURE(c.Name);
      CAPTURE(piece);
      ResponseParser parser(c.Head, MaxBytes);
      REQUIRE(read(c.Bytes, piece, c.Head, parser) == c.Expected);
      if (c.Expected == ParseResult::Complete)
        CHECK(parser.take().Body == c.Body);
    }
  }
}

TEST_CASE("bytes after a response make the connection not reusable") {
  const std::string whole = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nz";
  ResponseParser clean(false, MaxBytes);
  CHECK(clean.receive(whole));
  CHECK(clean.reusable());
  ResponseParser extra(false, MaxBytes);
  CHECK(extra.receive(whole + "HTTP/1.1 200 OK\r\n"));
  CHECK(extra.complete());
  CHECK(!extra.reusable());
  ResponseParser closing(false, MaxBytes);
  CHECK(closing.receive("HTTP/1.1 200 OK\r\nconnection: close\r\n"
                        "content-length: 0\r\n\r\n"));
  CHECK(!closing.reusable());
}

TEST_CASE("random bytes never make the parser crash or exceed the body limit") {
  std::mt19937_64 random(4);
  for (int i = 0; i < 20000; ++i) {
    const auto &c = Cases[random() % Cases.size()];
    std::string bytes = c.Bytes;
    for (int n = 0; n < 3; ++n)
      bytes[random() % bytes.size()] = char(random());
    ResponseParser parser(false, MaxBytes);
    (void)read(bytes, 1 + random() % 9, false, parser);
    CHECK(parser.take().Body.size() <= MaxBytes);
  }
}
