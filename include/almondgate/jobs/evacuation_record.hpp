#ifndef ALMONDGATE_JOBS_EVACUATION_RECORD_HPP
#define ALMONDGATE_JOBS_EVACUATION_RECORD_HPP

#include <cstdint>
#include <string>

namespace almondgate::jobs {

/// An open evacuation of an availability zone: nothing is started there.
struct EvacuationRecord {
  /// Name of the operator who requested it.
  std::string By;
  std::string Reason;
  /// Wall-clock time of the request, in milliseconds since 1970.
  int64_t SinceWallMs = 0;

  bool operator==(const EvacuationRecord &) const = default;
};

} // namespace almondgate::jobs

#endif
