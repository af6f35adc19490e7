#ifndef ALMONDGATE_MODEL_RELEASE_HPP
#define ALMONDGATE_MODEL_RELEASE_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// How the run under a grant ended.
enum class RunEnd {
  /// The grant was not used: nothing was sent to the endpoint.
  Unused,
  Succeeded,
  /// The endpoint reported a failure or did not answer.
  Failed,
  /// Cancelled by the caller; does not count against the endpoint.
  Cancelled,
};

/// Sent by an entry to return a grant or to withdraw a waiting request.
struct Release {
  core::RequestId Id;
  core::PoolId Pool;
  RunEnd End = RunEnd::Unused;
  int64_t RunMs = 0;

  bool operator==(const Release &) const = default;
};

} // namespace almondgate::model

#endif
