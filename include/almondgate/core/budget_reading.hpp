#ifndef ALMONDGATE_CORE_BUDGET_READING_HPP
#define ALMONDGATE_CORE_BUDGET_READING_HPP

#include "almondgate/core/byte_budget.hpp"

#include <string>

namespace almondgate::core {

/// The state of a ByteBudget, for metrics and logs. Units: bytes.
struct BudgetReading {
  std::string Name;
  size_t Used = 0;
  size_t Peak = 0;
  size_t Limit = 0;
  uint64_t Refused = 0;

  bool operator==(const BudgetReading &) const = default;
};

inline BudgetReading readBudget(const std::string &name,
                                const ByteBudget &budget) {
  return {name, budget.used(), budget.peak(), budget.limit(), budget.refused()};
}

} // namespace almondgate::core

#endif
