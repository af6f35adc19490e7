#ifndef ALMONDGATE_CONSENSUS_LOG_HPP
#define ALMONDGATE_CONSENSUS_LOG_HPP

#include "almondgate/consensus/durable_state.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace almondgate::consensus {

/// The part of the log that a member keeps in memory: the index and term of a
/// base entry, and the entries after it.
class Log {
public:
  Log(const Snapshot &base, std::vector<LogEntry> entries);

  uint64_t baseIndex() const { return BaseIndex; }
  uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  uint64_t lastTerm() const { return termAt(lastIndex()); }

  /// True if termAt(index) is known: `index` is the base or a later entry.
  bool covers(uint64_t index) const;
  uint64_t termAt(uint64_t index) const;
  const LogEntry &at(uint64_t index) const;

  void append(LogEntry entry);

  /// Removes the entries from `index` on.
  void truncateFrom(uint64_t index);

  /// Removes the entries up to `index`, which becomes the base.
  void compactTo(uint64_t index);

  /// Removes all entries; the given entry becomes the base.
  void reset(uint64_t index, uint64_t term);

  /// Sum of the sizes of the entries' data. Units: bytes.
  size_t dataBytes() const { return DataBytes; }

  /// The index of the first of the last entries up to `index` whose data have
  /// at most `max_bytes` together.
  uint64_t firstWithin(uint64_t index, size_t max_bytes) const;

  /// Copies the entries from `from` to `to`, inclusive. Stops after the entry
  /// with which their data reaches `max_bytes`.
  std::vector<LogEntry> slice(uint64_t from, uint64_t to,
                              size_t max_bytes) const;

private:
  uint64_t BaseIndex;
  uint64_t BaseTerm;
  std::deque<LogEntry> Entries;
  size_t DataBytes = 0;
};

} // namespace almondgate::consensus

#endif
