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
  /// How long ownership lasts after the control leader was last confirmed.
  core::DurationMs LeaseTtl{3000};
  PoolOptions Pool;
};

/// Owns pools while its lease lasts. Owns no socket.
class PlacerCore {
public:
  PlacerCore(PlacerOptions options, PlacerHooks hooks);

  void setView(const model::View &view, core::TimeMs confirmed_at,
               const std::vector<model::ProcessInfo> &processes);

  /// The control leader asks to return portions.
  void returnPortions(const std::vector<model::Portion> &returns);

  /// Errors given: NotLeader where the pool belongs to another placer or is
  /// still being taken over, and those of PoolScheduler.
  void grant(const model::GrantRequest &request, PoolScheduler::OnGrant done);

  /// Errors: NotLeader.
  core::Status release(const model::Release &release);

  /// Errors: NotLeader.
  core::Status report(const model::Announcement &announcement);

  void tick();

  /// Gives up all pools, before a planned stop.
  void stop();

  bool hasLease() const;
  std::vector<model::Demand> demands() const;
  std::vector<model::VmStatus> vmStatuses() const;

private:
  struct Owned {
    std::unique_ptr<PoolScheduler> Book;
    /// Entries that have not answered yet; no grants while there are any.
    std::set<core::ProcessId> Awaited;
    /// Entries that have an unanswered question.
    std::set<core::ProcessId> Asked;
  };

  Owned *usable(const core::PoolId &pool);
  void takeOver(const model::PoolOwner &owner);
  void askInventories(const core::PoolId &pool, Owned &owned);
  void onInventory(const core::PoolId &pool, uint64_t epoch,
                   const core::ProcessId &entry,
                   const core::Result<model::Inventory> &reply);
  void forgetGoneEntries(Owned &owned);
  void dropLostPools();

  const PlacerOptions Options;
  const PlacerHooks Hooks;
  model::View View;
  core::TimeMs ConfirmedAt{INT64_MIN / 2};
  std::vector<model::ProcessInfo> Processes;
  std::map<core::PoolId, Owned> Pools;
  core::TimeMs DemandToldAt{INT64_MIN / 2};
  bool Stopped = false;
};

} // namespace almondgate::placer

#endif
