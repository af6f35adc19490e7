#ifndef ALMONDGATE_POLICY_EJECTION_HPP
#define ALMONDGATE_POLICY_EJECTION_HPP

#include <cstdint>

namespace almondgate::policy {

/// What is known of an endpoint and of the rest of its pool.
struct EjectionStats {
  int64_t Runs = 0;
  int64_t Failures = 0;
  int64_t OtherRuns = 0;
  int64_t OtherFailures = 0;
  int64_t AlreadyEjected = 0;
  int64_t PoolSize = 0;

  bool operator==(const EjectionStats &) const = default;
};

/// Tells whether an endpoint fails so much more than the rest of its pool that
/// it must get no work for a while. When the whole pool fails, nobody is
/// ejected; at most three tenths of a pool are, but always one may be.
bool mustEject(const EjectionStats &c);

/// Tells whether the rest of the pool fails so much that keeping an endpoint
/// ejected helps nobody.
bool restOfPoolFails(const EjectionStats &c);

} // namespace almondgate::policy

#endif
