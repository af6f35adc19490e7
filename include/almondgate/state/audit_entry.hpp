#ifndef ALMONDGATE_STATE_AUDIT_ENTRY_HPP
#define ALMONDGATE_STATE_AUDIT_ENTRY_HPP

#include "almondgate/core/id.hpp"

#include <cstdint>
#include <string>

namespace almondgate::state {

/// An operator's change in the audit trail.
struct AuditEntry {
  uint64_t Revision = 0;
  core::OperatorId Operator;
  uint64_t Number = 0;
  int64_t AtWallMs = 0;
  std::string Kind;
  std::string Reason;
  bool Accepted = false;
  std::string Refusal;

  bool operator==(const AuditEntry &) const = default;
};

} // namespace almondgate::state

#endif
