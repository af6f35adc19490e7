#ifndef ALMONDGATE_JOBS_EVACUATION_LIST_HPP
#define ALMONDGATE_JOBS_EVACUATION_LIST_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/jobs/evacuation_basis.hpp"
#include "almondgate/jobs/evacuation_record.hpp"
#include "almondgate/jobs/ids.hpp"

#include <map>
#include <vector>

namespace almondgate::jobs {

/// Runs that remain at an endpoint of a zone under evacuation.
struct EvacuatedEndpoint {
  EndpointId Id;
  core::ZoneId Zone;
  int64_t ShortRuns = 0;
  int64_t LongRuns = 0;

  bool operator==(const EvacuatedEndpoint &) const = default;
};

/// The open evacuations, as the leader knows them.
struct EvacuationList {
  EvacuationBasis Basis;
  std::map<core::ZoneId, EvacuationRecord> Zones;
  /// The endpoints of these zones that have runs.
  std::vector<EvacuatedEndpoint> Remaining;

  bool operator==(const EvacuationList &) const = default;
};

} // namespace almondgate::jobs

#endif
