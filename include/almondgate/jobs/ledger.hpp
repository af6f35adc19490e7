#ifndef ALMONDGATE_JOBS_LEDGER_HPP
#define ALMONDGATE_JOBS_LEDGER_HPP

#include "almondgate/jobs/event.hpp"
#include "almondgate/jobs/job_record.hpp"
#include "almondgate/jobs/job_state.hpp"

#include <deque>
#include <map>
#include <set>

namespace almondgate::jobs {

/// Everything durable about jobs. Equal events in equal order give equal
/// ledgers.
struct Ledger {
  uint64_t Epoch = 0;
  FleetConfig Config;
  std::map<JobId, JobRecord> Jobs;
  std::map<EndpointId, EndpointFacts> Endpoints;
  /// The last life that ended, by endpoint; late heartbeats are told by it.
  std::map<EndpointId, int64_t> Gone;
  std::map<int64_t, WaveRecord> Waves;
  /// VMs with an order that may still be within the order lease.
  std::set<core::VmId> VmsOrdered;

  bool operator==(const Ledger &) const = default;
};

/// Applies an event; one that no longer fits changes nothing.
void apply(Ledger &ledger, const Event &event);

/// Tells whether this life, or a later one of the endpoint, has ended.
bool isGone(const Ledger &ledger, const EndpointId &id, int64_t born_ms);

const JobRecord *findJob(const Ledger &ledger, const JobId &id);

} // namespace almondgate::jobs

#endif
