#ifndef ALMONDGATE_HTTP_REQUEST_HEAD_HPP
#define ALMONDGATE_HTTP_REQUEST_HEAD_HPP

#include "almondgate/core/result.hpp"

#include <string>
#include <string_view>

namespace almondgate::http {

/// Checks what two servers could read differently in the head of an HTTP/1
/// request (RFC 9112, 3.2, 5.2, 6.3): line folding, white space around a header
/// name, more or less than one Host, more than one Content-Length, and
/// Content-Length beside Transfer-Encoding. `head` begins with the request line
/// and may be followed by the body. Errors: InvalidArgument.
core::Status checkRequestHead(std::string_view head);

/// A request target in origin-form, and the host that an absolute-form target
/// named.
struct RequestTarget {
  /// Path and query.
  std::string Path;
  /// Empty if the target named no host; otherwise it replaces the Host header.
  std::string Host;

  bool operator==(const RequestTarget &) const = default;
};

/// Reads a target in origin-form or absolute-form (RFC 9112, 3.2). Errors:
/// InvalidArgument for any other form, and for a path with dot segments, plain
/// or percent-encoded, which a router and an endpoint could resolve
/// differently.
core::Result<RequestTarget> parseRequestTarget(std::string_view target);

} // namespace almondgate::http

#endif
