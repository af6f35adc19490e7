#ifndef ALMONDGATE_MODEL_RELEASE_HPP
#define ALMONDGATE_MODEL_RELEASE_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>

namespace almondgate::model {

/// How the run under a grant ended.
enum class RunEnd {
  /// Not used: nothing was sent.
  Unused,
  Succeeded,
  /// The endpoint failed it, or its answer never came.
  Failed,
  /// Cancelled by the caller; says nothing about the endpoint.
  Cancelled,
};

/// An entry gives a grant back, or withdraws a waiting request.
struct Release {
  core::RequestId Id;
  core::PoolId Pool;
  RunEnd End = RunEnd::Unused;
  int64_t RunMs = 0;

  bool operator==(const Release &) const = default;
};

} // namespace almondgate::model

#endif
