#include "almondgate/consensus/log.hpp"
#include "almondgate/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace almondgate::consensus {

Log::Log(const Snapshot &base, std::vector<LogEntry> entries)
    : BaseIndex(base.Index), BaseTerm(base.Term) {
  for (auto &entry : entries)
    append(std::move(entry));
}

bool Log::covers(uint64_t index) const {
  return index >= BaseIndex && index <= lastIndex();
}

uint64_t Log::termAt(uint64_t index) const {
  if (index == BaseIndex)
    return BaseTerm;
  return at(index).Term;
}

const LogEntry &Log::at(uint64_t index) const {
  core::invariant(index > BaseIndex && index <= lastIndex(),
                  "log index out of range");
  return Entries[index - BaseIndex - 1];
}

void Log::append(LogEntry entry) {
  core::invariant(entry.Index == lastIndex() + 1,
                  "appended entry leaves a gap in the log");
  DataBytes += entry.Data.size();
  Entries.push_back(std::move(entry));
}

void Log::truncateFrom(uint64_t index) {
  core::invariant(index > BaseIndex, "truncation of compacted log entries");
  while (lastIndex() >= index) {
    DataBytes -= Entries.back().Data.size();
    Entries.pop_back();
  }
}

void Log::compactTo(uint64_t index) {
  if (index <= BaseIndex)
    return;
  BaseTerm = termAt(index);
  for (; BaseIndex < index; ++BaseIndex) {
    DataBytes -= Entries.front().Data.size();
    Entries.pop_front();
  }
}

void Log::reset(uint64_t index, uint64_t term) {
  Entries.clear();
  DataBytes = 0;
  BaseIndex = index;
  BaseTerm = term;
}

uint64_t Log::firstWithin(uint64_t index, size_t max_bytes) const {
  size_t bytes = 0;
  uint64_t first = index + 1;
  while (first - 1 > BaseIndex) {
    bytes += at(first - 1).Data.size();
    if (bytes > max_bytes)
      break;
    --first;
  }
  return first;
}

std::vector<LogEntry> Log::slice(uint64_t from, uint64_t to,
                                 size_t max_bytes) const {
  std::vector<LogEntry> out;
  size_t bytes = 0;
  for (uint64_t i = from; i <= std::min(to, lastIndex()); ++i) {
    out.push_back(at(i));
    bytes += at(i).Data.size();
    if (bytes >= max_bytes)
      break;
  }
  return out;
}

} // namespace almondgate::consensus
