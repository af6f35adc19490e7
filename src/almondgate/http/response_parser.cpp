#include "response_parser.hpp"

namespace almondgate::http {

using core::Error;
using core::ErrorCode;

namespace {

constexpr int FirstFinalStatus = 200;

bool hasNoBody(const http_parser &raw, bool head) {
  return head || raw.status_code == 204 || raw.status_code == 304;
}

} // namespace

ResponseParser::ResponseParser(bool head, size_t max_bytes)
    : Raw(), Head(head), MaxBytes(max_bytes) {
  http_parser_init(&Raw, HTTP_RESPONSE);
  Raw.data = this;
}

ResponseParser &ResponseParser::self(http_parser *raw) {
  return *static_cast<ResponseParser *>(raw->data);
}

int ResponseParser::onMessageBegin(http_parser *raw) {
  self(raw).Message = {};
  self(raw).InValue = true;
  return 0;
}

int ResponseParser::onHeaderField(http_parser *raw, const char *at, size_t n) {
  auto &parser = self(raw);
  if (parser.InValue)
    parser.Message.Headers.push_back({});
  parser.InValue = false;
  parser.Message.Headers.back().Name.append(at, n);
  return 0;
}

int ResponseParser::onHeaderValue(http_parser *raw, const char *at, size_t n) {
  auto &parser = self(raw);
  parser.InValue = true;
  if (!parser.Message.Headers.empty())
    parser.Message.Headers.back().Value.append(at, n);
  return 0;
}

int ResponseParser::onHeadersComplete(http_parser *raw) {
  auto &parser = self(raw);
  const bool no_body = hasNoBody(*raw, parser.Head);
  const bool chunked = (raw->flags & F_CHUNKED) != 0;
  const bool has_length = (raw->flags & F_CONTENTLENGTH) != 0;
  const bool final_response = raw->status_code >= FirstFinalStatus;
  // Without a length or chunks the end of the connection ends the response, so
  // a truncated response could not be detected.
  parser.LengthMissing = final_response && !no_body && !chunked && !has_length;
  if (parser.LengthMissing)
    return -1;
  return no_body ? 1 : 0;
}

int ResponseParser::onBody(http_parser *raw, const char *at, size_t n) {
  auto &parser = self(raw);
  parser.TooLarge = parser.Message.Body.size() + n > parser.MaxBytes;
  if (parser.TooLarge)
    return -1;
  parser.Message.Body.append(at, n);
  return 0;
}

int ResponseParser::onMessageComplete(http_parser *raw) {
  auto &parser = self(raw);
  if (raw->status_code < FirstFinalStatus)
    return 0;
  parser.Message.Status = static_cast<int>(raw->status_code);
  parser.Complete = true;
  parser.Reusable = http_should_keep_alive(raw) != 0;
  http_parser_pause(raw, 1);
  return 0;
}

core::Status ResponseParser::receive(std::string_view data) {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = onMessageBegin;
  settings.on_header_field = onHeaderField;
  settings.on_header_value = onHeaderValue;
  settings.on_headers_complete = onHeadersComplete;
  settings.on_body = onBody;
  settings.on_message_complete = onMessageComplete;
  const size_t n =
      http_parser_execute(&Raw, &settings, data.data(), data.size());
  if (Complete) {
    // Bytes after the response belong to no request of this client.
    Reusable = Reusable && n == data.size();
    return core::ok();
  }
  if (TooLarge)
    return Error{ErrorCode::TooLarge,
                 "the endpoint's response exceeds the limit of " +
                     std::to_string(MaxBytes) + " bytes"};
  if (LengthMissing)
    return Error{ErrorCode::EndpointFailed,
                 "the response has neither a content length nor chunks"};
  if (Raw.http_errno != HPE_OK || Raw.upgrade)
    return Error{ErrorCode::EndpointFailed,
                 "the response is not valid HTTP/1.1"};
  return core::ok();
}

} // namespace almondgate::http
