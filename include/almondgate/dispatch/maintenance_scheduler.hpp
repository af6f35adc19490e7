#ifndef ALMONDGATE_DISPATCH_MAINTENANCE_SCHEDULER_HPP
#define ALMONDGATE_DISPATCH_MAINTENANCE_SCHEDULER_HPP

#include "almondgate/dispatch/dispatcher_options.hpp"
#include "almondgate/dispatch/vm_list_cache.hpp"
#include "almondgate/dispatch/vm_operation_hooks.hpp"
#include "almondgate/jobs/ledger.hpp"

#include <map>
#include <set>

namespace almondgate::dispatch {

/// Takes the VMs of waves down for maintenance: drains them first, keeps every
/// availability budget, and never has more VMs of a wave down than its upper
/// limit. The start of a VM's maintenance is durable before it is ordered, so
/// that a new leader counts the VM as down.
class MaintenanceScheduler {
public:
  using VmPredicate = std::function<bool(const core::VmId &)>;

  MaintenanceScheduler(DispatcherOptions options, VmOperationHooks hooks,
                       const jobs::Ledger &ledger, VmListCache &list);

  /// Starts scheduling; called when the member becomes leader.
  void begin(uint64_t epoch);
  void end();

  /// Advances all waves; VMs for which `is_moving` is true are left alone.
  void run(const VmPredicate &is_moving);

  /// The VM's maintenance has been started, and the VM service has not
  /// confirmed the order.
  bool hasUnconfirmedMaintenance(const core::VmId &vm) const;

  /// VMs that are being drained for maintenance or are down for it.
  std::set<core::VmId> vmsInMaintenance() const;

private:
  /// A VM's maintenance that has been started. A VM has one at a time.
  struct Outage {
    /// The wave that the maintenance belongs to.
    int64_t Wave = 0;
    /// The endpoint's incarnation when the maintenance was started.
    jobs::EndpointIncarnation AtStart;
    /// The endpoint's incarnation when the last order was sent.
    jobs::EndpointIncarnation AtLastOrder;
    /// When the last order was sent; set into the future to delay the next.
    core::TimeMs OrderedAt{INT64_MIN / 2};
    bool Accepted = false;
    /// When the VM service confirmed the order, and the endpoint's incarnation
    /// then.
    core::TimeMs AcceptedAt;
    jobs::EndpointIncarnation AtAcceptance;
    bool CallPending = false;
    /// An order was sent, and its outcome is not known.
    bool OutcomeUnknown = false;
  };

  void advanceWave(const jobs::WaveRecord &wave, const VmPredicate &is_moving);
  std::vector<core::VmId> candidatesOf(const jobs::WaveRecord &wave) const;
  int64_t neededConcurrency(const jobs::WaveRecord &wave) const;
  void updateOutage(const jobs::WaveRecord &wave, const core::VmId &vm);
  /// Why the maintenance is over; null while it may be in progress.
  const char *endOf(const Outage &outage, const core::VmId &vm,
                    const VmLoad &load) const;
  /// VMs that are down for maintenance of any wave, or about to be.
  std::set<core::VmId> vmsTakenDown() const;
  /// One more VM may be taken down of each open wave that has this one.
  bool isWithinLimits(const core::VmId &vm) const;
  void retryOrder(const jobs::WaveRecord &wave, const core::VmId &vm,
                  Outage &outage, const VmLoad &load);
  void drainAndTakeDown(const jobs::WaveRecord &wave, int64_t free_slots,
                        const VmPredicate &is_moving);
  void startOutage(const jobs::WaveRecord &wave, const core::VmId &vm,
                   const VmLoad &load);
  void sendOrder(int64_t wave, const core::VmId &vm);
  void onOrderResult(int64_t wave, const core::VmId &vm, VmOrderResult result);
  void finish(int64_t wave, const core::VmId &vm, const char *why);

  const DispatcherOptions Options;
  const VmOperationHooks Hooks;
  const jobs::Ledger &Ledger;
  bool Active = false;
  uint64_t Epoch = 0;
  uint64_t Generation = 0;
  std::map<core::VmId, Outage> Outages;
  /// VMs that are being drained, and since when.
  std::map<core::VmId, core::TimeMs> Reserved;
  /// VMs whose start or end of maintenance is being made durable.
  std::set<core::VmId> Recording;
  VmListCache &List;
};

} // namespace almondgate::dispatch

#endif
