#ifndef ALMONDGATE_POLICY_EJECTION_HPP
#define ALMONDGATE_POLICY_EJECTION_HPP

#include <cstdint>

namespace almondgate::policy {

/// Recent run outcomes of an endpoint and of the rest of its pool.
struct EjectionStats {
  int64_t Runs = 0;
  int64_t Failures = 0;
  /// Runs and failures on the other endpoints of the pool.
  int64_t OtherRuns = 0;
  int64_t OtherFailures = 0;
  /// Endpoints of the pool that are ejected now, and all its endpoints.
  int64_t AlreadyEjected = 0;
  int64_t PoolSize = 0;

  bool operator==(const EjectionStats &) const = default;
};

/// Whether an endpoint fails so much more often than the rest of its pool that
/// it must temporarily get no work. No endpoint is ejected when the whole pool
/// fails. At most 30 % of a pool, but at least one endpoint, may be ejected;
/// the only endpoint of a pool is never ejected.
bool mustEject(const EjectionStats &stats);

/// Whether the rest of the pool fails so often that keeping an endpoint ejected
/// has no benefit.
bool restOfPoolFails(const EjectionStats &stats);

} // namespace almondgate::policy

#endif
