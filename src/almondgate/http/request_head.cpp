#include "almondgate/http/request_head.hpp"
#include "almondgate/http/header.hpp"

#include <algorithm>

namespace almondgate::http {

using core::Error;
using core::ErrorCode;

namespace {

Error invalid(const char *text) { return {ErrorCode::InvalidArgument, text}; }

/// Removes the first line from `text` and returns it without its end.
std::string_view takeLine(std::string_view &text) {
  const size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  return line;
}

bool isBlank(char c) { return c == ' ' || c == '\t'; }

bool isDotSegment(std::string_view segment) {
  constexpr std::string_view EncodedDot = "%2e";
  int dots = 0;
  for (; !segment.empty(); ++dots) {
    if (segment.front() == '.')
      segment.remove_prefix(1);
    else if (sameName(segment.substr(0, EncodedDot.size()), EncodedDot))
      segment.remove_prefix(EncodedDot.size());
    else
      return false;
  }
  return dots == 1 || dots == 2;
}

bool hasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const size_t slash = path.find('/');
    if (isDotSegment(path.substr(0, slash)))
      return true;
    path.remove_prefix(slash == std::string_view::npos ? path.size()
                                                       : slash + 1);
  }
  return false;
}

} // namespace

core::Status checkRequestHead(std::string_view head) {
  const std::string_view request_line = takeLine(head);
  int hosts = 0;
  int lengths = 0;
  int encodings = 0;
  for (std::string_view line = takeLine(head); !line.empty();
       line = takeLine(head)) {
    if (isBlank(line.front()))
      return invalid("header lines must not be folded");
    const std::string_view name = line.substr(0, line.find(':'));
    if (name.empty() || name.size() == line.size() || isBlank(name.back()))
      return invalid("a header name must end with its colon");
    hosts += sameName(name, "host") ? 1 : 0;
    lengths += sameName(name, "content-length") ? 1 : 0;
    encodings += sameName(name, "transfer-encoding") ? 1 : 0;
  }
  if (hosts > 1)
    return invalid("a request must have only one Host header");
  if (hosts == 0 && request_line.ends_with("HTTP/1.1"))
    return invalid("an HTTP/1.1 request must have a Host header");
  if (lengths > 1)
    return invalid("a request must have only one Content-Length header");
  if (encodings > 1)
    return invalid("a request must have only one Transfer-Encoding header");
  if (lengths > 0 && encodings > 0)
    return invalid("a request must not have both Content-Length and "
                   "Transfer-Encoding headers");
  return core::ok();
}

core::Result<RequestTarget> parseRequestTarget(std::string_view target) {
  RequestTarget out;
  const size_t scheme = target.find("://");
  const bool absolute =
      scheme != std::string_view::npos && !target.starts_with('/');
  if (absolute) {
    const std::string_view name = target.substr(0, scheme);
    if (!sameName(name, "http") && !sameName(name, "https"))
      return invalid("the request target has an unknown scheme");
    target.remove_prefix(scheme + 3);
    const size_t end = std::min(target.find_first_of("/?"), target.size());
    out.Host = std::string(target.substr(0, end));
    if (out.Host.empty() || out.Host.find('@') != std::string::npos)
      return invalid("the request target must name a host and no user");
    target.remove_prefix(end);
    if (!target.starts_with('/'))
      out.Path = "/";
  } else if (!target.starts_with('/')) {
    return invalid("the request target must begin with a slash");
  }
  out.Path += std::string(target);
  if (hasDotSegment(std::string_view(out.Path).substr(0, out.Path.find('?'))))
    return invalid("the path must not have dot segments");
  return out;
}

} // namespace almondgate::http
