#include "almondgate/http/request_head.hpp"

#include "fuzz_target.hpp"
#include "response_parser.hpp"

using namespace almondgate;

namespace {

constexpr size_t MaxResponseBytes = 1 << 16;

// The parser receives the bytes in two parts, as a connection may deliver them.
void parseResponse(std::string_view bytes, bool head) {
  http::ResponseParser parser(head, MaxResponseBytes);
  const size_t half = bytes.size() / 2;
  if (!parser.receive(bytes.substr(0, half)))
    return;
  if (!parser.complete() && !parser.receive(bytes.substr(half)))
    return;
  if (parser.complete())
    (void)parser.take();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n) {
  const auto input = fuzz::inputOf(data, n);
  switch (input.Selector % 4) {
  case 0:
    (void)http::checkRequestHead(input.Bytes);
    break;
  case 1:
    (void)http::parseRequestTarget(input.Bytes);
    break;
  case 2:
    parseResponse(input.Bytes, false);
    break;
  default:
    parseResponse(input.Bytes, true);
  }
  return 0;
}
