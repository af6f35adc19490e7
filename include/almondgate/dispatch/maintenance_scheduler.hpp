#ifndef ALMONDGATE_DISPATCH_MAINTENANCE_SCHEDULER_HPP
#define ALMONDGATE_DISPATCH_MAINTENANCE_SCHEDULER_HPP

#include "almondgate/dispatch/dispatcher_options.hpp"
#include "almondgate/dispatch/vm_list_cache.hpp"
#include "almondgate/dispatch/vm_operation_hooks.hpp"
#include "almondgate/jobs/ledger.hpp"

#include <map>
#include <set>

namespace almondgate::dispatch {

/// Takes the VMs of waves down for their upkeep: empties them first, keeps
/// every availability budget, and never has more of a wave down than it
/// allows. What has begun is durable before it is ordered, so that a new leader
/// counts it.
class MaintenanceScheduler {
public:
  MaintenanceScheduler(DispatcherOptions options, VmOperationHooks hooks,
                       const jobs::Ledger &ledger, VmListCache &list);

  /// The member leads from now on.
  void begin(uint64_t epoch);
  void end();

  /// Takes the next steps of all waves; VMs that `moving` names wait.
  void run(const std::function<bool(const core::VmId &)> &moving);

  /// An upkeep of the VM has begun, and it is not known whether the VM service
  /// has taken the order.
  bool hasUnconfirmedMaintenance(const core::VmId &vm) const;

  /// VMs that are being emptied or are down.
  std::set<core::VmId> vmsInMaintenance() const;

private:
  using Moving = std::function<bool(const core::VmId &)>;

  struct Outage {
    /// The life that was there when the upkeep was begun.
    jobs::EndpointIncarnation Ends;
    /// The life that was there at the last order.
    jobs::EndpointIncarnation OrderedAt;
    core::TimeMs Ordered{INT64_MIN / 2};
    bool Accepted = false;
    bool Calling = false;
    /// An order was sent, and its outcome is not known.
    bool Unclear = false;
  };

  void runWave(const jobs::WaveRecord &wave, const Moving &moving);
  std::vector<core::VmId> inOrder(const jobs::WaveRecord &wave) const;
  int64_t neededDown(const jobs::WaveRecord &wave) const;
  void followOutage(const jobs::WaveRecord &wave, const core::VmId &vm);
  void orderAgain(const jobs::WaveRecord &wave, const core::VmId &vm,
                  Outage &outage, const VmLoad &load);
  void prepare(const jobs::WaveRecord &wave, int64_t free_places,
               const Moving &moving);
  void takeDown(const jobs::WaveRecord &wave, const core::VmId &vm,
                const VmLoad &load);
  void order(int64_t wave, const core::VmId &vm);
  void onOrdered(int64_t wave, const core::VmId &vm, VmOrderResult result);
  void finish(int64_t wave, const core::VmId &vm, const char *why);

  const DispatcherOptions Options;
  const VmOperationHooks Hooks;
  const jobs::Ledger &Ledger;
  bool Active = false;
  uint64_t Epoch = 0;
  uint64_t Generation = 0;
  std::map<core::VmId, Outage> Outages;
  std::map<core::VmId, core::TimeMs> Reserved;
  std::set<core::VmId> Recording;
  VmListCache &List;
};

} // namespace almondgate::dispatch

#endif
