#ifndef ALMONDGATE_HTTP_RESPONSE_PARSER_HPP
#define ALMONDGATE_HTTP_RESPONSE_PARSER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/http/response.hpp"

#include <http_parser.h>

#include <string_view>

namespace almondgate::http {

/// Reads one answer and tells whether its end is proved.
class ResponseParser {
public:
  ResponseParser(bool head, size_t max_bytes);
  ResponseParser(const ResponseParser &) = delete;
  ResponseParser &operator=(const ResponseParser &) = delete;

  /// Feeds bytes. Errors: EndpointFailed for what is no HTTP or has no provable
  /// end, TooLarge.
  core::Status receive(std::string_view data);

  bool complete() const { return Complete; }
  /// True where the connection may carry another request.
  bool reusable() const { return Reusable; }
  Response take() { return std::move(Answer); }

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
  Response Answer;
  bool InValue = true;
  bool Complete = false;
  bool Reusable = false;
  bool EndUnproved = false;
  bool TooLarge = false;
};

} // namespace almondgate::http

#endif
