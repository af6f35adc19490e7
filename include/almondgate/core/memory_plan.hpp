#ifndef ALMONDGATE_CORE_MEMORY_PLAN_HPP
#define ALMONDGATE_CORE_MEMORY_PLAN_HPP

#include <cstddef>
#include <cstdint>

namespace almondgate::core {

/// Memory limit in megabytes that is assumed if the settings name none.
inline constexpr int64_t DefaultMemoryLimitMb = 256;

/// Divides a process's memory limit between the tasks that hold bytes for
/// others. Each share has one owner, which refuses what would exceed it. What
/// is left over is for code, stacks, caches and the heap's own overhead. Units:
/// bytes.
struct MemoryPlan {
  /// The whole limit.
  size_t Limit = 0;
  /// Requests of callers, endpoints and operators, from their first byte until
  /// they are answered.
  size_t Requests = 0;
  /// Answers that callers have not read yet.
  size_t Responses = 0;
  /// Calls and replies of the inner protocol, in both directions.
  size_t Peers = 0;
  /// Orders that wait for an endpoint or for another service, and the answers
  /// to them.
  size_t Orders = 0;
  /// Jobs that are kept in the ledger.
  size_t Jobs = 0;

  bool operator==(const MemoryPlan &) const = default;
};

/// Returns the plan for a limit in megabytes; 0 stands for
/// DefaultMemoryLimitMb.
MemoryPlan planMemory(int64_t limit_mb);

} // namespace almondgate::core

#endif
