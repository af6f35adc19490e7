#ifndef ALMONDGATE_STATE_CHANGE_HPP
#define ALMONDGATE_STATE_CHANGE_HPP

#include "almondgate/state/command.hpp"

namespace almondgate::state {

/// A command and its originator. Changes made by the system itself have no
/// operator and number 0.
struct Change {
  core::OperatorId Operator;
  /// The operator's change number. Resending a number with the same content
  /// returns the first result again.
  uint64_t Number = 0;
  /// The revision that the operator has read; 0 accepts any. The change is
  /// refused if any operator's change was applied after that revision.
  uint64_t ExpectedRevision = 0;
  std::string Reason;
  /// Wall-clock time of submission in milliseconds, set by the process that
  /// proposes the change.
  int64_t AtWallMs = 0;
  Command What;

  bool operator==(const Change &) const = default;
};

} // namespace almondgate::state

#endif
