#ifndef ALMONDGATE_PLACER_POOL_SCHEDULER_HPP
#define ALMONDGATE_PLACER_POOL_SCHEDULER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/model/demand.hpp"
#include "almondgate/model/grant.hpp"
#include "almondgate/model/grant_request.hpp"
#include "almondgate/model/inventory.hpp"
#include "almondgate/model/release.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/placer/pool_options.hpp"
#include "almondgate/policy/ejection.hpp"
#include "almondgate/policy/fair_share.hpp"
#include "almondgate/policy/outcome_window.hpp"

#include <deque>
#include <functional>
#include <map>
#include <unordered_set>
#include <vector>

namespace almondgate::placer {

/// What the owner of a pool keeps of it: what waits, what runs, and how its
/// VMs do. Decides who runs next and where.
class PoolScheduler {
public:
  using OnGrant = std::function<void(core::Result<model::Grant>)>;

  PoolScheduler(core::PoolId pool, uint64_t epoch, core::TimeMs now,
                PoolOptions options, observe::LogLine log);

  uint64_t epoch() const { return Epoch; }

  /// Takes over the settings, VMs and portions of the view.
  void setView(const model::View &view);

  /// Counts what an entry says it runs.
  void adoptInventory(const model::Inventory &inventory, core::TimeMs now);

  /// Queues a request, or refuses it. Errors given: Overloaded.
  void enqueue(const model::GrantRequest &request, OnGrant done,
               core::TimeMs now);

  void release(const model::Release &release, core::TimeMs now);
  void report(const model::Announcement &announcement, core::TimeMs now);

  /// Grants what can be granted now.
  void grantWaiting(core::TimeMs now);

  /// Refuses what has waited for too long.
  void expire(core::TimeMs now);

  /// Refuses all that waits; the callers ask the next owner.
  void rejectWaiting(const core::Error &error);

  /// Lowers a team's portion below the view's, until the view follows. Gives
  /// the amount: not less than what runs.
  int64_t capPortion(const core::TeamId &team, int64_t amount);

  std::vector<model::Demand> demands() const;
  std::vector<model::VmStatus> vmStatuses(core::TimeMs now) const;

  /// True when a team waits only for a larger portion.
  bool needsLargerPortion() const;

private:
  struct Waiting {
    model::GrantRequest Request;
    OnGrant Done;
    core::TimeMs Arrived;
    core::TimeMs Until;
  };

  struct Running {
    core::TeamId Team;
    core::QueueId Queue;
    core::VmId Vm;
    core::Size Need;
    model::WorkClass Class = model::WorkClass::Batch;
    core::TimeMs Since;
  };

  struct ReleasedGrant {
    core::RequestId Id;
    core::TimeMs At;
  };

  struct VmBook {
    model::Vm Facts;
    model::Announcement Last;
    bool Reported = false;
    core::TimeMs ReportedAt;
    core::Size Used;
    int64_t Runs = 0;
    policy::OutcomeWindow Outcomes;
    bool Ejected = false;
    int64_t Ejections = 0;
    core::TimeMs ProbeFrom;
    /// Requests in the last report that no entry has told of.
    std::vector<model::RunningRequest> Orphans;
  };

  struct TeamBook {
    std::deque<Waiting> Urgent;
    std::deque<Waiting> Batch;
    int64_t Share = 1;
    int64_t Portion = 0;
    std::optional<int64_t> Cap;
    int64_t Running = 0;
    int64_t Orphans = 0;
    core::Size Held;

    int64_t running() const { return Running + Orphans; }
    int64_t waiting() const { return int64_t(Urgent.size() + Batch.size()); }
    int64_t mayRun() const { return Cap ? std::min(*Cap, Portion) : Portion; }
  };

  bool reportsWell(const VmBook &vm, core::TimeMs now) const;
  bool isHealthy(const VmBook &vm, core::TimeMs now) const;
  bool mayTake(const VmBook &vm, const model::GrantRequest &request,
               core::TimeMs now) const;
  std::vector<policy::VmLoad> loadsFor(const model::GrantRequest &request,
                                       core::TimeMs now) const;
  std::vector<policy::TeamLoad> teamLoads() const;
  core::Size freeOf(const VmBook &vm) const;
  bool placeOne(TeamBook &team, core::TimeMs now);
  bool placeFrom(std::deque<Waiting> &queue, core::TimeMs now);
  bool leavesHeadroom(const model::GrantRequest &request,
                      core::TimeMs now) const;
  void grant(const Waiting &waiting, const core::VmId &vm, core::TimeMs now);
  void startRun(const core::RequestId &id, Running run);
  void endRun(const core::RequestId &id);
  void noteReleased(const core::RequestId &id, core::TimeMs now);
  void dropWaiting(const core::RequestId &id);
  void noteOutcome(VmBook &vm, bool success, core::TimeMs now);
  policy::EjectionStats ejectionCase(const VmBook &vm, core::TimeMs now) const;
  void returnIfAllFail(core::TimeMs now);
  void considerEjection(VmBook &vm, core::TimeMs now);
  void recountOrphans();
  int64_t freeSlots(core::TimeMs now) const;

  const core::PoolId Pool;
  const uint64_t Epoch;
  const core::TimeMs TakenOverAt;
  const PoolOptions Options;
  const observe::LogLine Log;
  int64_t MaxWaiting = 0;
  core::Size Capacity;
  std::map<core::VmId, VmBook> Vms;
  std::map<core::TeamId, TeamBook> Teams;
  std::map<core::RequestId, Running> Runs;
  /// Grants given back lately, and the order in which they were.
  std::unordered_set<core::RequestId> Released;
  std::deque<ReleasedGrant> ReleasedOrder;
  policy::UrgentHeadroom Headroom;
  core::DurationMs MeanBatchRun{1000};
  core::DurationMs MeanUrgentRun{1000};
  int64_t Waits = 0;
  int64_t UrgentRuns = 0;
};

} // namespace almondgate::placer

#endif
