#ifndef ALMONDGATE_STATE_AUDIT_ENTRY_HPP
#define ALMONDGATE_STATE_AUDIT_ENTRY_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::state {

/// An entry of the audit trail: an operator's change and its outcome.
struct AuditEntry {
  /// The state's revision after the change.
  uint64_t Revision = 0;
  core::OperatorId Operator;
  /// The operator's change number.
  uint64_t Number = 0;
  /// Wall-clock time of submission, in milliseconds.
  int64_t AtWallMs = 0;
  /// kindName() of the command.
  std::string Kind;
  std::string Reason;
  bool Accepted = false;
  /// Why the change was refused; empty if it was accepted.
  std::string Refusal;

  bool operator==(const AuditEntry &) const = default;
};

} // namespace almondgate::state

#endif
