#ifndef ALMONDGATE_STATE_INTENT_HPP
#define ALMONDGATE_STATE_INTENT_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::state {

/// A non-idempotent request that was, or may have been, dispatched.
struct Intent {
  /// Digest of the request's content.
  std::string Digest;
  core::RequestId Request;
  /// Wall-clock time at which the request began, in milliseconds.
  int64_t AtWallMs = 0;
  /// HTTP status of the response; 0 while the outcome is unknown.
  int Status = 0;

  bool operator==(const Intent &) const = default;
};

} // namespace almondgate::state

#endif
