#include "almondgate/policy/retry_budget.hpp"

#include <algorithm>

namespace almondgate::policy {

namespace {

constexpr double TokensPerRequest = 0.05;
constexpr double MaxTokens = 10;

} // namespace

RetryBudget RetryBudget::withRequest() const {
  return RetryBudget(std::min(MaxTokens, Tokens + TokensPerRequest));
}

bool RetryBudget::allowsRetry() const { return Tokens >= 1; }

RetryBudget RetryBudget::withRetry() const { return RetryBudget(Tokens - 1); }

} // namespace almondgate::policy
