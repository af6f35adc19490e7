#ifndef ALMONDGATE_OBSERVE_MEMORY_READING_HPP
#define ALMONDGATE_OBSERVE_MEMORY_READING_HPP

#include <cstddef>
#include <string>

namespace almondgate::observe {

/// Memory of this process. Units: bytes.
struct MemoryReading {
  /// Resident now; 0 if unknown.
  size_t Resident = 0;
  /// What the program holds from the allocator.
  size_t Allocated = 0;
  /// What the allocator keeps of freed memory; a part of it is resident.
  size_t Free = 0;

  bool operator==(const MemoryReading &) const = default;
};

/// Source: VmRSS of proc(5), mallinfo2(3). Takes the lock of each arena of the
/// allocator; not for use at a high rate.
MemoryReading readMemory();

/// Formats a reading for a log line: "resident 12 MB, allocated 5 MB, ...".
std::string formatMemory(const MemoryReading &memory);

} // namespace almondgate::observe

#endif
