#ifndef ALMONDGATE_DISPATCH_POOL_LOAD_HPP
#define ALMONDGATE_DISPATCH_POOL_LOAD_HPP

#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <map>

namespace almondgate::dispatch {

struct OpenJob;

/// The open jobs of one pool and what they need.
struct PoolLoad {
  std::map<jobs::JobId, OpenJob *> Open;
  /// Those of them with waiting tasks, whether or not these may start now.
  std::map<jobs::JobId, OpenJob *> Waiting;
  /// Processor time, in millicores, that the tasks need that run or could, as
  /// far as the steps that they depend on are concerned. Without fill work,
  /// scheduled jobs and placed long-running tasks: the capacity that those
  /// occupy is not counted as usable either.
  int64_t DemandMilliCpus = 0;
  /// How many open jobs need at least so many VMs to spread their long-running
  /// steps that the loss of one VM keeps to the availability budgets.
  std::map<int64_t, int64_t> JobsByMinVms;

  bool operator==(const PoolLoad &) const = default;

  /// The number of VMs that all its jobs need to spread long-running steps.
  int64_t minVms() const {
    return JobsByMinVms.empty() ? 0 : JobsByMinVms.rbegin()->first;
  }
};

} // namespace almondgate::dispatch

#endif
