#ifndef ALMONDGATE_POLICY_EJECTION_HPP
#define ALMONDGATE_POLICY_EJECTION_HPP

#include <cstdint>

namespace almondgate::policy {

/// What is known of an endpoint and of the rest of its pool.
struct EjectionCase {
  int64_t Runs = 0;
  int64_t Failures = 0;
  int64_t OtherRuns = 0;
  int64_t OtherFailures = 0;
  int64_t EjectedAlready = 0;
  int64_t PoolSize = 0;

  bool operator==(const EjectionCase &) const = default;
};

/// Tells whether an endpoint fails so much more than the rest of its pool that
/// it must get no work for a while. When the whole pool fails, nobody is
/// ejected; at most three tenths of a pool are, but always one may be.
bool mustEject(const EjectionCase &c);

/// Tells whether the rest of the pool fails so much that keeping an endpoint
/// ejected helps nobody.
bool restFailsToo(const EjectionCase &c);

} // namespace almondgate::policy

#endif
