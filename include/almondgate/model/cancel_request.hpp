#ifndef ALMONDGATE_MODEL_CANCEL_REQUEST_HPP
#define ALMONDGATE_MODEL_CANCEL_REQUEST_HPP

#include "almondgate/core/id.hpp"

#include <string>

namespace almondgate::model {

/// A caller's call to cancel the request that it submitted with the same key.
struct CancelRequest {
  core::RequestId Id;
  std::string Key;

  bool operator==(const CancelRequest &) const = default;
};

} // namespace almondgate::model

#endif
