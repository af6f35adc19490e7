#ifndef ALMONDGATE_HTTP_SERVER_BUDGET_HPP
#define ALMONDGATE_HTTP_SERVER_BUDGET_HPP

#include "almondgate/core/budget_reading.hpp"
#include "almondgate/core/byte_budget.hpp"
#include "almondgate/core/memory_plan.hpp"

#include <memory>
#include <vector>

namespace almondgate::task {
class DescriptorBudget;
} // namespace almondgate::task

namespace almondgate::http {

/// What the callers of one server may make it hold.
struct ServerBudget {
  /// Connections, and requests from their first byte until they are answered.
  core::ByteBudget Requests;
  /// Answers that callers have not read yet.
  core::ByteBudget Responses;
  size_t MaxConnections = 0;
  /// Counts the connections of all servers and clients of the process; null if
  /// the server counts its own alone.
  std::shared_ptr<task::DescriptorBudget> Descriptors = nullptr;

  /// The budget of a server that holds the process's shares of `plan`.
  static ServerBudget
  ofPlan(const core::MemoryPlan &plan,
         std::shared_ptr<task::DescriptorBudget> descriptors = nullptr);

  /// A small budget for probes and metrics.
  static ServerBudget forStatus();

  std::vector<core::BudgetReading> read() const;
};

/// The connections that the process's limit of open files allows a server.
/// Source: task::processDescriptorLimits().
size_t connectionLimit();

} // namespace almondgate::http

#endif
