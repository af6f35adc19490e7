#include "almondgate/http/server_budget.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace almondgate::http {

namespace {

constexpr size_t KiB = 1024;
constexpr size_t StatusRequestBytes = 2048 * KiB;
constexpr size_t StatusResponseBytes = 4096 * KiB;
constexpr size_t StatusConnections = 64;
constexpr size_t MinReservedFiles = 256;
// A quarter of the open files is left to outgoing connections.
constexpr size_t ReservedPart = 4;
constexpr size_t MinConnections = 64;
constexpr size_t MaxConnections = 16384;

} // namespace

ServerBudget ServerBudget::ofPlan(const core::MemoryPlan &plan) {
  return {core::ByteBudget(plan.Requests), core::ByteBudget(plan.Responses),
          connectionLimit()};
}

ServerBudget ServerBudget::forStatus() {
  return {core::ByteBudget(StatusRequestBytes),
          core::ByteBudget(StatusResponseBytes), StatusConnections};
}

std::vector<core::BudgetReading> ServerBudget::read() const {
  return {core::readBudget("requests", Requests),
          core::readBudget("responses", Responses)};
}

size_t connectionLimit() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0)
    return MinConnections;
  const auto n = size_t(std::min<rlim_t>(files.rlim_cur, SIZE_MAX));
  const size_t reserved = std::max(MinReservedFiles, n / ReservedPart);
  return std::clamp(n - std::min(n, reserved), MinConnections, MaxConnections);
}

} // namespace almondgate::http
