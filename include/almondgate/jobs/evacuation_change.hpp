#ifndef ALMONDGATE_JOBS_EVACUATION_CHANGE_HPP
#define ALMONDGATE_JOBS_EVACUATION_CHANGE_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/result.hpp"
#include "almondgate/jobs/evacuation_basis.hpp"

#include <cstddef>
#include <string>

namespace almondgate::jobs {

/// Maximum size of the name of a zone under evacuation, in bytes.
inline constexpr size_t MaxZoneBytes = 64;

/// Maximum size of the reason of a change, in bytes.
inline constexpr size_t MaxReasonBytes = 1024;

/// Maximum number of zones under evacuation at once.
inline constexpr size_t MaxEvacuations = 64;

/// An operator's request to evacuate a zone, or to withdraw that.
struct EvacuationChange {
  core::ZoneId Zone;
  /// False to withdraw the evacuation.
  bool Evacuate = true;
  /// Name of the operator.
  std::string By;
  std::string Reason;
  EvacuationBasis Basis;

  bool operator==(const EvacuationChange &) const = default;
};

/// Checks that the zone's name is 1 to MaxZoneBytes printable ASCII characters
/// other than '/', and that the other texts are short and have no control
/// characters. Errors: InvalidArgument.
core::Status checkEvacuation(const EvacuationChange &change);

} // namespace almondgate::jobs

#endif
