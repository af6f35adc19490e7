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

/// Schedules one pool for its owner: tracks waiting and running requests and
/// the health of its VMs, and decides which request runs next and on which VM.
class PoolScheduler {
public:
  using OnGrant = std::function<void(core::Result<model::Grant>)>;

  PoolScheduler(core::PoolId pool, uint64_t epoch, core::TimeMs now,
                PoolOptions options, observe::LogLine log);

  /// The epoch under which the pool is owned; every grant carries it.
  uint64_t epoch() const { return Epoch; }

  /// Updates the pool's settings, VMs and portions from the view.
  void setView(const model::View &view);

  /// Counts the runs in an entry's inventory as running.
  void adoptInventory(const model::Inventory &inventory, core::TimeMs now);

  /// Queues a request; `done` receives the grant. Errors passed to `done`:
  /// Overloaded if too many requests are waiting, Cancelled if the request has
  /// already been released, NoCapacity if its wait times out.
  void enqueue(const model::GrantRequest &request, OnGrant done,
               core::TimeMs now);

  /// Ends a run and records its outcome, or withdraws a request that is waiting
  /// or has not arrived yet.
  void release(const model::Release &release, core::TimeMs now);

  /// Records an endpoint's report, including the requests that it runs.
  void report(const model::Announcement &announcement, core::TimeMs now);

  /// Grants waiting requests as long as one can be placed.
  void grantWaiting(core::TimeMs now);

  /// Rejects requests whose wait has timed out, and removes records of released
  /// requests that are older than PoolOptions::ReleaseRetention.
  void expire(core::TimeMs now);

  /// Rejects all waiting requests with `error`, so that their callers retry
  /// with the pool's next owner.
  void rejectWaiting(const core::Error &error);

  /// Limits a team to a portion below that of the view, until liftCap().
  /// Returns the limit, which may exceed `amount`: it is not lowered
  /// below the number of running requests.
  int64_t capPortion(const core::TeamId &team, int64_t amount);

  /// Lets the view's portion limit the team again.
  void liftCap(const core::TeamId &team);

  /// Numbers of running and waiting requests, for each team that has any.
  std::vector<model::Demand> demands() const;

  /// Running requests and health of each VM that has reported to this owner.
  std::vector<model::VmStatus> vmStatuses(core::TimeMs now) const;

  /// True if a team has waiting requests and has used up its portion.
  bool needsLargerPortion() const;

private:
  struct WaitingRequest {
    model::GrantRequest Request;
    OnGrant Done;
    core::TimeMs ArrivedAt;
    core::TimeMs Deadline;
  };

  struct ActiveRun {
    core::TeamId Team;
    core::QueueId Queue;
    core::VmId Vm;
    core::Size Need;
    model::WorkClass Class = model::WorkClass::Batch;
    core::TimeMs StartedAt;
  };

  struct ReleasedRequest {
    core::RequestId Id;
    core::TimeMs ReleasedAt;
  };

  struct VmState {
    /// The VM's record in the view.
    model::Vm Record;
    model::Announcement LastReport;
    bool HasReport = false;
    core::TimeMs ReportedAt;
    /// Resources of the runs on the VM.
    core::Size Used;
    int64_t Runs = 0;
    policy::OutcomeWindow Outcomes;
    bool Ejected = false;
    /// Exponent of the probe back-off: 1 at ejection, plus 1 for each run that
    /// fails while the VM is ejected, at most 10.
    int64_t BackoffExponent = 0;
    /// While ejected, the VM receives no probe before this time.
    core::TimeMs NextProbeAt;
    /// Requests in the last report that are neither granted runs nor recently
    /// released.
    std::vector<model::RunningRequest> Orphans;
  };

  struct TeamState {
    std::deque<WaitingRequest> Urgent;
    std::deque<WaitingRequest> Batch;
    int64_t Share = 1;
    int64_t Portion = 0;
    /// Limit set by capPortion() until liftCap().
    std::optional<int64_t> Cap;
    int64_t Running = 0;
    int64_t Orphans = 0;
    /// Resources of the team's runs.
    core::Size Held;

    int64_t running() const { return Running + Orphans; }
    int64_t waiting() const { return int64_t(Urgent.size() + Batch.size()); }
    int64_t runLimit() const { return Cap ? std::min(*Cap, Portion) : Portion; }
  };

  bool isReportedReady(const VmState &vm, core::TimeMs now) const;
  bool isHealthy(const VmState &vm, core::TimeMs now) const;
  bool canAccept(const VmState &vm, const model::GrantRequest &request,
                 core::TimeMs now) const;
  std::vector<policy::VmLoad> candidateLoads(const model::GrantRequest &request,
                                             core::TimeMs now) const;
  std::vector<policy::TeamLoad> teamLoads() const;
  core::Size freeCapacity(const VmState &vm) const;
  bool grantNext(TeamState &team, core::TimeMs now);
  bool grantFrom(std::deque<WaitingRequest> &queue, core::TimeMs now);
  bool leavesHeadroom(const model::GrantRequest &request,
                      core::TimeMs now) const;
  void grant(const WaitingRequest &waiting, const core::VmId &vm,
             core::TimeMs now);
  void startRun(const core::RequestId &id, ActiveRun run);
  void endRun(const core::RequestId &id);
  void recordRelease(const core::RequestId &id, core::TimeMs now);
  void removeWaiting(const core::RequestId &id);
  void recordOutcome(VmState &vm, bool success, core::TimeMs now);
  policy::EjectionStats ejectionStats(const VmState &vm,
                                      core::TimeMs now) const;
  void reinstateIfPoolFails(core::TimeMs now);
  void ejectIfFailing(VmState &vm, core::TimeMs now);
  void recountOrphans();
  int64_t freeSlots(core::TimeMs now) const;

  const core::PoolId Pool;
  const uint64_t Epoch;
  const core::TimeMs TakenOverAt;
  const PoolOptions Options;
  const observe::LogLine Log;
  int64_t MaxWaiting = 0;
  core::Size Capacity;
  std::map<core::VmId, VmState> Vms;
  std::map<core::TeamId, TeamState> Teams;
  std::map<core::RequestId, ActiveRun> Runs;
  /// Recently released requests, as a set and in order of release.
  std::unordered_set<core::RequestId> ReleasedIds;
  std::deque<ReleasedRequest> ReleaseOrder;
  policy::UrgentHeadroom Headroom;
  core::DurationMs MeanBatchRun{1000};
  core::DurationMs MeanUrgentRun{1000};
  int64_t WaitingCount = 0;
  int64_t UrgentRuns = 0;
};

} // namespace almondgate::placer

#endif
