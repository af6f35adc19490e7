#include "almondgate/http/server_budget.hpp"

#include "almondgate/task/descriptor_limits.hpp"

#include <algorithm>

namespace almondgate::http {

namespace {

constexpr size_t KiB = 1024;
constexpr size_t StatusRequestBytes = 2048 * KiB;
constexpr size_t StatusResponseBytes = 4096 * KiB;
constexpr size_t StatusConnections = 64;
// Probes take their descriptors from the reserve.
constexpr size_t StatusPartOfReserve = 4;
constexpr size_t MaxConnections = 16384;

} // namespace

ServerBudget
ServerBudget::ofPlan(const core::MemoryPlan &plan,
                     std::shared_ptr<task::DescriptorBudget> descriptors) {
  return {core::ByteBudget(plan.Requests), core::ByteBudget(plan.Responses),
          connectionLimit(), std::move(descriptors)};
}

ServerBudget ServerBudget::forStatus() {
  return {core::ByteBudget(StatusRequestBytes),
          core::ByteBudget(StatusResponseBytes),
          std::min(StatusConnections, task::processDescriptorLimits().Reserved /
                                          StatusPartOfReserve)};
}

std::vector<core::BudgetReading> ServerBudget::read() const {
  return {core::readBudget("requests", Requests),
          core::readBudget("responses", Responses)};
}

size_t connectionLimit() {
  return std::min(MaxConnections, task::processDescriptorLimits().Inbound);
}

} // namespace almondgate::http
