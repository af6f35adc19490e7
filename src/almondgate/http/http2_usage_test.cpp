#include "http2_usage.hpp"

#include <doctest/doctest.h>

using namespace almondgate::http;

namespace {

constexpr size_t MaxBody = 100000;
constexpr uint8_t Data = 0;
constexpr uint8_t Fields = 1;
constexpr uint8_t Reset = 3;
constexpr uint8_t Ping = 6;
constexpr uint8_t WindowUpdate = 8;
const std::string Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string frame(uint8_t type, uint32_t stream, size_t n) {
  std::string out;
  for (const int shift : {16, 8, 0})
    out += char(n >> shift);
  out += char(type);
  out += '\0';
  for (const int shift : {24, 16, 8, 0})
    out += char(stream >> shift);
  return out + std::string(n, 'x');
}

} // namespace

// Guards against bodies that no budget counts, since they arrive in streams.
TEST_CASE("header fields and bodies of open streams are counted") {
  const std::string bytes = Preface + frame(Fields, 1, 100) +
                            frame(Data, 1, 5000) + frame(Fields, 3, 100) +
                            frame(Data, 3, 7000);
  const size_t content = size_t{5100} + 7100;
  const size_t all = 2 * Http2Usage::StreamBytes + 2 * content;
  for (const size_t size : {size_t{1}, size_t{7}, size_t{1000}, bytes.size()}) {
    Http2Usage usage(MaxBody);
    for (size_t i = 0; i < bytes.size(); i += size)
      usage.receive(std::string_view(bytes).substr(i, size), false);
    CHECK(usage.isHttp2());
    CHECK(usage.heldBytes() == all);
    usage.close(1);
    CHECK(usage.heldBytes() == Http2Usage::StreamBytes + size_t{2} * 7100);
    usage.receive(frame(Reset, 3, 4), false);
    CHECK(usage.heldBytes() == 0);
    usage.receive(frame(Data, 3, 100), false);
    CHECK_FALSE(usage.hasStreams());
    CHECK(usage.heldBytes() == 2 * 17);
  }
}

TEST_CASE("what h2o refuses is not counted") {
  Http2Usage usage(MaxBody);
  usage.receive(Preface + frame(Fields, 1, 0), false);
  for (int i = 0; i < 10; ++i)
    usage.receive(frame(Data, 1, 16000), false);
  CHECK_FALSE(usage.hasStreams());
  for (uint32_t stream = 3; stream < 1000; stream += 2)
    usage.receive(frame(Fields, stream, 0), false);
  usage.receive("", false);
  CHECK(usage.heldBytes() == Http2Usage::MaxStreams * Http2Usage::StreamBytes);
}

// Guards against acknowledgements that fill the process's memory.
TEST_CASE("answers to frames are counted while nothing is read") {
  Http2Usage usage(MaxBody);
  usage.receive(Preface, false);
  for (int i = 0; i < 100; ++i)
    usage.receive(frame(Ping, 0, 8) + frame(WindowUpdate, 0, 4), true);
  CHECK(usage.heldBytes() == 100 * 2 * 17);
  CHECK_FALSE(usage.hasStreams());
  usage.receive(frame(Ping, 0, 8), false);
  CHECK(usage.heldBytes() == 2 * 17);
  usage.receive(frame(WindowUpdate, 0, 4), false);
  CHECK(usage.heldBytes() == 0);
}

TEST_CASE("HTTP/1 is not counted, and an upgraded connection is") {
  Http2Usage usage(MaxBody);
  const std::string request = "POST / HTTP/1.1\r\nHost: h\r\n\r\n";
  usage.receive(request + std::string(100000, 'x'), false);
  CHECK_FALSE(usage.isHttp2());
  CHECK(usage.heldBytes() == 0);
  usage.receive(request + Preface.substr(0, 10), false);
  usage.receive(Preface.substr(10) + frame(Fields, 3, 0), false);
  CHECK(usage.isHttp2());
  CHECK(usage.heldBytes() == Http2Usage::StreamBytes);
}
