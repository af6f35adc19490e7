#ifndef ALMONDGATE_JOBS_LEDGER_HPP
#define ALMONDGATE_JOBS_LEDGER_HPP

#include "almondgate/jobs/evacuation_record.hpp"
#include "almondgate/jobs/event.hpp"
#include "almondgate/jobs/job_record.hpp"
#include "almondgate/jobs/job_state.hpp"

#include <deque>
#include <map>
#include <set>

namespace almondgate::jobs {

/// The durable state of jobs, endpoints and waves. Deterministic: the same
/// events in the same order produce equal ledgers.
struct Ledger {
  uint64_t Epoch = 0;
  FleetConfig Config;
  std::map<JobId, JobRecord> Jobs;
  std::map<EndpointId, EndpointFacts> Endpoints;
  /// Start (BornMs) of the last incarnation of each endpoint that ended, to
  /// detect late heartbeats.
  std::map<EndpointId, int64_t> Gone;
  std::map<int64_t, WaveRecord> Waves;
  /// VMs with an order whose order lease may not have expired.
  std::set<core::VmId> VmsOrdered;
  /// Where those of them that have a move order are moved to.
  std::map<core::VmId, core::PoolId> MoveTargets;
  /// Zones under evacuation.
  std::map<core::ZoneId, EvacuationRecord> Evacuations;
  /// Number of changes to Evacuations so far.
  uint64_t EvacuationRevision = 0;

  bool operator==(const Ledger &) const = default;
};

/// Applies an event. Events that no longer match the ledger are ignored.
void apply(Ledger &ledger, const Event &event);

/// Whether this incarnation of the endpoint, or a later one, has ended.
bool isGone(const Ledger &ledger, const EndpointId &id, int64_t born_ms);

/// Whether this incarnation of the endpoint has ended, or a later one is known.
/// Endpoints that don't report their birth count as born at 0.
bool isSuperseded(const Ledger &ledger, const EndpointId &id, int64_t born_ms);

/// The job with this id, or null.
const JobRecord *findJob(const Ledger &ledger, const JobId &id);

} // namespace almondgate::jobs

#endif
