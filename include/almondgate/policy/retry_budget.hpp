#ifndef ALMONDGATE_POLICY_RETRY_BUDGET_HPP
#define ALMONDGATE_POLICY_RETRY_BUDGET_HPP

namespace almondgate::policy {

/// Limits retries to 5 % of the requests, after an initial burst of ten, so
/// that retries can't multiply the load when all requests fail.
class RetryBudget {
public:
  RetryBudget() = default;

  /// The budget after a request, which adds to it.
  RetryBudget withRequest() const;

  bool allowsRetry() const;
  /// The budget after a retry, which takes from it.
  RetryBudget withRetry() const;

  bool operator==(const RetryBudget &) const = default;

private:
  explicit RetryBudget(double tokens) : Tokens(tokens) {}

  double Tokens = 10;
};

} // namespace almondgate::policy

#endif
