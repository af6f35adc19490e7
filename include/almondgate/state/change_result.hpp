#ifndef ALMONDGATE_STATE_CHANGE_RESULT_HPP
#define ALMONDGATE_STATE_CHANGE_RESULT_HPP

#include "almondgate/core/error.hpp"

#include <cstdint>

namespace almondgate::state {

/// The result of a change.
struct ChangeResult {
  bool Accepted = false;
  /// The state's revision after the change.
  uint64_t Revision = 0;
  /// Why the change was refused; only set if it was not accepted. Its text is
  /// part of the replicated state, so a different wording would make members of
  /// two versions store different states.
  core::Error Refusal;

  bool operator==(const ChangeResult &) const = default;
};

} // namespace almondgate::state

#endif
