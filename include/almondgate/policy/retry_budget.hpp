#ifndef ALMONDGATE_POLICY_RETRY_BUDGET_HPP
#define ALMONDGATE_POLICY_RETRY_BUDGET_HPP

namespace almondgate::policy {

/// Bounds retries to a fraction of the requests, so that they can't multiply
/// the load when everything fails.
class RetryBudget {
public:
  RetryBudget() = default;

  RetryBudget withRequest() const;

  bool allowsRetry() const;
  RetryBudget withRetry() const;

  bool operator==(const RetryBudget &) const = default;

private:
  explicit RetryBudget(double tokens) : Tokens(tokens) {}

  double Tokens = 10;
};

} // namespace almondgate::policy

#endif
