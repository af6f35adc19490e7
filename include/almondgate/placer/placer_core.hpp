#ifndef ALMONDGATE_PLACER_PLACER_CORE_HPP
#define ALMONDGATE_PLACER_PLACER_CORE_HPP

#include "almondgate/model/process_info.hpp"
#include "almondgate/placer/placer_hooks.hpp"
#include "almondgate/placer/pool_scheduler.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace almondgate::placer {

/// Settings of a PlacerCore.
struct PlacerOptions {
  core::ProcessId Self;
  /// How long ownership stays valid after the control leader was last
  /// confirmed.
  core::DurationMs LeaseTtl{3000};
  PoolOptions Pool;
};

/// Schedules the pools that the view assigns to this placer, while its lease
/// is valid. Performs all I/O through its hooks.
class PlacerCore {
public:
  PlacerCore(PlacerOptions options, PlacerHooks hooks);

  /// Applies the replicated view: takes over pools newly assigned to this
  /// placer and drops those assigned to another one. The lease runs from
  /// `confirmed_at`.
  void setView(const model::View &view, core::TimeMs confirmed_at,
               const std::vector<model::ProcessInfo> &processes);

  /// Proposes to lower portions to the requested amounts, but not below the
  /// number of running requests.
  void returnPortions(const std::vector<model::Portion> &returns);

  /// Queues a request; `done` receives the grant. Errors passed to `done`:
  /// NotLeader if this placer does not own the pool, is still taking it over
  /// or has no valid lease, and those of PoolScheduler.
  void grant(const model::GrantRequest &request, PoolScheduler::OnGrant done);

  /// Ends a run or withdraws a waiting request. Errors: NotLeader.
  core::Status release(const model::Release &release);

  /// Records an endpoint's report. Errors: NotLeader.
  core::Status report(const model::Announcement &announcement);

  /// Expires waiting requests, repeats failed inventory requests and grants
  /// waiting requests; to be called periodically.
  void tick();

  /// Rejects all waiting requests and drops all pools, before a planned stop.
  void stop();

  /// Whether the control leader was confirmed within the lease and stop() has
  /// not been called.
  bool hasLease() const;

  /// Running and waiting requests of each team in the owned pools.
  std::vector<model::Demand> demands() const;

  /// Running requests and health of the VMs in the owned pools.
  std::vector<model::VmStatus> vmStatuses() const;

private:
  struct OwnedPool {
    std::unique_ptr<PoolScheduler> Scheduler;
    /// Entries whose inventory has not been received; the pool grants nothing
    /// until this is empty.
    std::set<core::ProcessId> MissingInventories;
    /// Entries with an inventory request in flight.
    std::set<core::ProcessId> RequestsInFlight;
  };

  using PortionKey = std::pair<core::TeamId, core::PoolId>;

  /// A lowered portion that was proposed and is not yet in the view. The pool
  /// keeps to it meanwhile.
  struct PortionReturn {
    state::SetPortion Proposed;
    /// When it was last proposed.
    core::TimeMs ProposedAt;
    bool InFlight = false;
    /// From this revision on, the view shows whether it was applied.
    std::optional<uint64_t> SettledAt;
  };

  void propose(const PortionKey &key, PortionReturn &portion);
  void onProposed(const PortionKey &key,
                  const core::Result<state::ChangeResult> &result);
  void retryReturns();
  void finishSettledReturns();
  OwnedPool *findServingPool(const core::PoolId &pool);
  void takeOver(const model::PoolOwner &owner);
  void requestInventories(const core::PoolId &pool, OwnedPool &owned);
  void onInventory(const core::PoolId &pool, uint64_t epoch,
                   const core::ProcessId &entry,
                   const core::Result<model::Inventory> &reply);
  void removeDepartedEntries(OwnedPool &owned);
  void dropLostPools();

  const PlacerOptions Options;
  const PlacerHooks Hooks;
  model::View View;
  core::TimeMs ConfirmedAt{INT64_MIN / 2};
  std::vector<model::ProcessInfo> Processes;
  std::map<core::PoolId, OwnedPool> Pools;
  std::map<PortionKey, PortionReturn> PortionReturns;
  core::TimeMs DemandReportedAt{INT64_MIN / 2};
  bool Stopped = false;
};

} // namespace almondgate::placer

#endif
