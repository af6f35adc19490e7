#ifndef ALMONDGATE_ENTRY_CALLER_REQUEST_HPP
#define ALMONDGATE_ENTRY_CALLER_REQUEST_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/http/request.hpp"
#include "almondgate/policy/admission.hpp"

#include <optional>
#include <string>

namespace almondgate::entry {

/// A caller's request, whatever front end it came through.
struct CallerRequest {
  core::RequestId Id;
  policy::AdmissionRequest Asked;
  /// Longest time until the answer; the pool's settings bound it too.
  std::optional<core::DurationMs> Deadline;
  /// Makes a non-idempotent request run at most once, over all entries.
  std::string IdempotencyKey;
  bool Idempotent = false;
  /// What the endpoint gets.
  http::Request Payload;

  bool operator==(const CallerRequest &) const = default;
};

} // namespace almondgate::entry

#endif
