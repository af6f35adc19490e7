#ifndef ALMONDGATE_STATE_INTENT_HPP
#define ALMONDGATE_STATE_INTENT_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::state {

/// A non-idempotent request that was, or may have been, dispatched.
struct Intent {
  std::string Digest;
  core::RequestId Request;
  int64_t AtWallMs = 0;
  /// HTTP status of the answer; 0 while it is not known.
  int Status = 0;

  bool operator==(const Intent &) const = default;
};

} // namespace almondgate::state

#endif
