#ifndef ALMONDGATE_HTTP_RESPONSE_PARSER_HPP
#define ALMONDGATE_HTTP_RESPONSE_PARSER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/http/response.hpp"

#include <http_parser.h>

#include <string_view>

namespace almondgate::http {

/// Parses one HTTP response and checks that it is complete.
class ResponseParser {
public:
  ResponseParser(bool head, size_t max_bytes);
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;

  /// Parses the next bytes. Errors: EndpointFailed if they are not HTTP or the
  /// response has no length and no chunks, TooLarge.
  core::Status receive(std::string_view data);

  bool complete() const { return Complete; }
  /// True if the connection may be used for another request.
  bool reusable() const { return Reusable; }
  Response take() { return std::move(Message); }

private:
  static ResponseParser &self(http_parser *raw);
  static int onMessageBegin(http_parser *raw);
  static int onHeaderField(http_parser *raw, const char *at, size_t n);
  static int onHeaderValue(http_parser *raw, const char *at, size_t n);
  static int onHeadersComplete(http_parser *raw);
  static int onBody(http_parser *raw, const char *at, size_t n);
  static int onMessageComplete(http_parser *raw);

  http_parser Raw;
  const bool Head;
  const size_t MaxBytes;
  Response Message;
  bool InValue = true;
  bool Complete = false;
  bool Reusable = false;
  bool LengthMissing = false;
  bool TooLarge = false;
};

} // namespace almondgate::http

#endif
