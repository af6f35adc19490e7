#ifndef ALMONDGATE_ENTRY_CALLER_REQUEST_HPP
#define ALMONDGATE_ENTRY_CALLER_REQUEST_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/http/request.hpp"
#include "almondgate/policy/admission.hpp"

#include <optional>
#include <string>

namespace almondgate::entry {

/// A caller's request, independent of the front end that received it.
struct CallerRequest {
  core::RequestId Id;
  policy::AdmissionRequest Admission;
  /// Maximum time until the response; the pool's wait and run limits also
  /// apply.
  std::optional<core::DurationMs> Deadline;
  /// Makes a non-idempotent request run at most once across all entries.
  std::string IdempotencyKey;
  bool Idempotent = false;
  /// The request that is forwarded to the endpoint.
  http::Request Payload;

  bool operator==(const CallerRequest &) const = default;
};

} // namespace almondgate::entry

#endif
