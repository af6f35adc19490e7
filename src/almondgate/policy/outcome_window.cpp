#include "almondgate/policy/outcome_window.hpp"

namespace almondgate::policy {

namespace {

constexpr int64_t SecondMs = 1000;

} // namespace

OutcomeWindow OutcomeWindow::withOutcome(core::TimeMs now, bool success) const {
  const int64_t second = now.Count / SecondMs;
  OutcomeWindow out = *this;
  Bucket &bucket = out.Ring[size_t(second % Buckets)];
  if (bucket.Second != second)
    bucket = {second, 0, 0};
  ++(success ? bucket.Successes : bucket.Failures);
  return out;
}

int64_t OutcomeWindow::count(core::TimeMs now) const {
  const int64_t second = now.Count / SecondMs;
  int64_t n = 0;
  for (const auto &bucket : Ring)
    if (bucket.Second > second - Buckets && bucket.Second >= 0)
      n += bucket.Successes + bucket.Failures;
  return n;
}

int64_t OutcomeWindow::failures(core::TimeMs now) const {
  const int64_t second = now.Count / SecondMs;
  int64_t n = 0;
  for (const auto &bucket : Ring)
    if (bucket.Second > second - Buckets && bucket.Second >= 0)
      n += bucket.Failures;
  return n;
}

} // namespace almondgate::policy
