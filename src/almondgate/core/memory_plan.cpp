#include "almondgate/core/memory_plan.hpp"

namespace almondgate::core {

namespace {

constexpr size_t BytesPerMb = size_t{1} << 20;
constexpr size_t Percent = 100;

constexpr size_t RequestsPercent = 16;
constexpr size_t ResponsesPercent = 10;
constexpr size_t PeersPercent = 12;
constexpr size_t OrdersPercent = 8;
// A snapshot holds the ledger twice more while it is encoded and sent.
constexpr size_t JobsPercent = 10;

} // namespace

MemoryPlan planMemory(int64_t limit_mb) {
  const size_t limit =
      size_t(limit_mb > 0 ? limit_mb : DefaultMemoryLimitMb) * BytesPerMb;
  const auto share = [limit](size_t percent) {
    return limit / Percent * percent;
  };
  return {limit,
          share(RequestsPercent),
          share(ResponsesPercent),
          share(PeersPercent),
          share(OrdersPercent),
          share(JobsPercent)};
}

} // namespace almondgate::core
