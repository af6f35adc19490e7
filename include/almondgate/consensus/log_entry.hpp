#ifndef ALMONDGATE_CONSENSUS_LOG_ENTRY_HPP
#define ALMONDGATE_CONSENSUS_LOG_ENTRY_HPP

#include <cstdint>
#include <string>

namespace almondgate::consensus {

/// What a log entry holds.
enum class EntryKind {
  /// Written by each new leader; changes nothing.
  Empty,
  /// Bytes for the replicated state.
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
