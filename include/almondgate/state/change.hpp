#ifndef ALMONDGATE_STATE_CHANGE_HPP
#define ALMONDGATE_STATE_CHANGE_HPP

#include "almondgate/state/command.hpp"

namespace almondgate::state {

/// A command with who asks for it. Changes of the system itself have no
/// operator and no number.
struct Change {
  core::OperatorId Operator;
  /// The operator's change number; the same number resent with the same content
  /// gets the first answer again.
  uint64_t Number = 0;
  /// The revision the operator has read; 0 accepts any. Refused when an
  /// operator's change came after it.
  uint64_t ExpectedRevision = 0;
  std::string Reason;
  /// When the change was handed in; set by the process that proposes it.
  int64_t AtWallMs = 0;
  Command What;

  bool operator==(const Change &) const = default;
};

} // namespace almondgate::state

#endif
