#ifndef ALMONDGATE_CONSENSUS_LOG_ENTRY_HPP
#define ALMONDGATE_CONSENSUS_LOG_ENTRY_HPP

#include <cstdint>
#include <string>

namespace almondgate::consensus {

/// The content of a log entry.
enum class EntryKind {
  /// No content; appended by each new leader.
  Empty,
  /// An encoded command of the replicated state machine.
  Command,
  /// An encoded Membership.
  Membership,
};

/// One entry of the replicated log.
struct LogEntry {
  uint64_t Term = 0;
  uint64_t Index = 0;
  EntryKind Kind = EntryKind::Empty;
  std::string Data;

  bool operator==(const LogEntry &) const = default;
};

} // namespace almondgate::consensus

#endif
