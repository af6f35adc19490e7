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
  self(raw).Answer = {};
  self(raw).InValue = true;
  return 0;
}

int ResponseParser::onHeaderField(http_parser *raw, const char *at, size_t n) {
  auto &parser = self(raw);
  if (parser.InValue)
    parser.Answer.Headers.push_back({});
  parser.InValue = false;
  parser.Answer.Headers.back().Name.append(at, n);
  return 0;
}

int ResponseParser::onHeaderValue(http_parser *raw, const char *at, size_t n) {
  auto &parser = self(raw);
  parser.InValue = true;
  if (!parser.Answer.Headers.empty())
    parser.Answer.Headers.back().Value.append(at, n);
  return 0;
}

int ResponseParser::onHeadersComplete(http_parser *raw) {
  auto &parser = self(raw);
  const bool no_body = hasNoBody(*raw, parser.Head);
  const bool chunked = (raw->flags & F_CHUNKED) != 0;
  const bool has_length = (raw->flags & F_CONTENTLENGTH) != 0;
  const bool final_answer = raw->status_code >= FirstFinalStatus;
  // Without length or chunks the answer ends with the connection, and a cut
  // looks the same.
  parser.EndUnproved = final_answer && !no_body && !chunked && !has_length;
  if (parser.EndUnproved)
    return -1;
  return no_body ? 1 : 0;
}

int ResponseParser::onBody(http_parser *raw, const char *at, size_t n) {
  auto &parser = self(raw);
  parser.TooLarge = parser.Answer.Body.size() + n > parser.MaxBytes;
  if (parser.TooLarge)
    return -1;
  parser.Answer.Body.append(at, n);
  return 0;
}

int ResponseParser::onMessageComplete(http_parser *raw) {
  auto &parser = self(raw);
  if (raw->status_code < FirstFinalStatus)
    return 0;
  parser.Answer.Status = static_cast<int>(raw->status_code);
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
    // Bytes after the answer belong to no request of ours.
    Reusable = Reusable && n == data.size();
    return core::ok();
  }
  if (TooLarge)
    return Error{ErrorCode::TooLarge, "the endpoint's answer is too large"};
  if (EndUnproved)
    return Error{ErrorCode::EndpointFailed,
                 "the answer has neither a length nor chunks"};
  if (Raw.http_errno != HPE_OK || Raw.upgrade)
    return Error{ErrorCode::EndpointFailed, "the answer is not HTTP/1.1"};
  return core::ok();
}

} // namespace almondgate::http
