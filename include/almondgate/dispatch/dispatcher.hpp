#ifndef ALMONDGATE_DISPATCH_DISPATCHER_HPP
#define ALMONDGATE_DISPATCH_DISPATCHER_HPP

#include "almondgate/dispatch/dispatcher_hooks.hpp"
#include "almondgate/dispatch/dispatcher_options.hpp"
#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/dispatch/maintenance_scheduler.hpp"
#include "almondgate/dispatch/open_job.hpp"
#include "almondgate/dispatch/vm_mover.hpp"
#include "almondgate/dispatch/vm_order_sender.hpp"
#include "almondgate/jobs/config_index.hpp"
#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/jobs/ledger.hpp"
#include "almondgate/policy/duration_model.hpp"
#include "almondgate/policy/job_admission.hpp"
#include "almondgate/policy/job_timing.hpp"
#include "almondgate/policy/refusal_history.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondgate::dispatch {

class StepCandidates;

/// Runs jobs while its control member leads: accepts them, gives orders to
/// endpoints, renews their leases and makes the ends durable. Owns no socket,
/// no file and no thread.
///
/// A task is started only when no earlier run of it can be at work: an order
/// without an answer is resolved first, and after a change of leader every
/// endpoint of the pool has been read or its lease has lapsed.
class Dispatcher {
public:
  using OnReply = std::function<void(core::Result<jobs::JobReply>)>;
  using OnStatus = std::function<void(core::Status)>;

  Dispatcher(DispatcherOptions options, DispatcherHooks hooks,
             const jobs::Ledger &ledger);

  /// The member leads; its epoch is durable.
  void startLeading(uint64_t epoch);

  /// The member leads no longer: everything believed is forgotten.
  void stopLeading();

  /// An event has been applied to the ledger.
  void onEventApplied(const jobs::Event &event);

  /// Looks at the clock; call every TickInterval while the member leads.
  void tick();

  /// Serves a caller. Errors given: NotLeader, Unavailable where it is not
  /// known whether the request was accepted.
  void handleCall(const jobs::JobCall &call, const OnReply &done);

  /// An endpoint announced itself. Errors given: NotLeader, Unavailable.
  void handleHeartbeat(const jobs::EndpointFacts &facts, int64_t sequence,
                       const OnStatus &done);

  /// An endpoint said that it ends. Errors given: as handleHeartbeat().
  void handleLeave(const jobs::EndpointId &id, int64_t born_ms,
                   const OnStatus &done);

  /// An operator gave a configuration that is valid. Errors: as
  /// handleHeartbeat().
  void configure(const jobs::FleetConfig &config, const OnStatus &done);

  /// The newest configuration. Errors: NotLeader.
  core::Result<jobs::FleetConfig> config() const;

  /// The text that the newest configuration was read from; empty before the
  /// first. Errors: NotLeader.
  core::Result<std::string> configSource() const;

  /// An operator asked for a wave. Errors given: as handleHeartbeat().
  void startWave(const jobs::WaveRecord &wave, const OnStatus &done);

  /// Errors: NotLeader, NotFound.
  core::Result<bool> isWaveCompleted(int64_t number) const;

  bool isActive() const { return Active && Hooks.MayAct(); }

  const std::map<jobs::EndpointId, EndpointView> &endpoints() const {
    return Endpoints;
  }

private:
  using TaskKey = EndpointView::TaskKey;

  struct Submission {
    std::string Call;
    std::vector<OnReply> Callbacks;
  };

  // dispatcher.cpp
  /// Of the ledger's configuration as it is now: other events of one batch are
  /// told after the ledger has applied all of them.
  const jobs::ConfigIndex &index() const;
  void recordEvent(jobs::Event event, std::function<void(bool)> done = {});
  /// Runs `done` once all that was recorded so far is durable.
  void afterRecorded(std::function<void(bool)> done);
  void flush();
  /// Asks for a pass: what waits is placed and what was recorded is sent off.
  void schedulePass();
  /// The run times that a queue's steps are expected to have.
  policy::PredictStep runTimeEstimator(const core::QueueId &queue) const;
  void openJob(const jobs::JobRecord &record, bool inherited);
  void onJobAccepted(const jobs::JobAccepted &event);
  void onJobCancelled(const jobs::JobId &id);
  void onTaskEnded(const jobs::TaskEnded &event);
  jobs::Event makeConfigEvent(const jobs::FleetConfig &config);
  void onEndpointRegistered(const jobs::EndpointFacts &facts);
  /// Takes the runs off an endpoint's old life whose orders may still be
  /// carried out by its next one.
  std::set<TaskKey> takeUnresolvedStarts(EndpointView &old_incarnation);
  /// Keeps the orders of runs that are given up with their endpoint.
  void recordUnresolvedStarts(EndpointView &endpoint);
  void onEndpointIdled(const jobs::EndpointIdled &event);
  void onEndpointGone(const jobs::EndpointId &id, int64_t born_ms);
  void closeIfFinished(const jobs::JobId &id);
  void expireJobs();

  // dispatcher_calls.cpp
  policy::JobAdmissionDecision decideAdmission(const jobs::JobSpec &spec,
                                               const jobs::QueueSpec &queue,
                                               core::TimeMs sent) const;
  policy::JobDemand remainingLoadOf(const OpenJob &job) const;
  void refuseJob(const jobs::JobCall &call, const jobs::JobId &id,
                 const jobs::QueueSpec &queue,
                 const policy::JobAdmissionDecision &verdict,
                 const OnReply &done);
  void submit(const jobs::JobCall &call, const jobs::QueueSpec &queue,
              const jobs::JobId &id, const OnReply &done);
  bool isAcceptedCall(const jobs::JobCall &call) const;
  void handleResubmission(const jobs::JobId &id, const OnReply &done);
  jobs::JobReply queryJob(const jobs::JobId &id) const;
  void cancel(const jobs::JobId &id, const OnReply &done);
  int64_t countPendingJobs(const core::QueueId &queue) const;

  // dispatcher_orders.cpp
  EndpointView *findAnsweringIncarnation(const jobs::EndpointId &id,
                                         int64_t born, const OrderReply &reply);
  void startTask(const TaskKey &task_key, EndpointView &at, int64_t run);
  void sendStart(const TaskKey &task_key);
  void onStartReply(const TaskKey &task_key, int64_t run,
                    const jobs::EndpointId &at, int64_t born,
                    const OrderReply &reply);
  /// `why` is told in the log and counted.
  void stopTask(const TaskKey &task_key, const char *why);
  void sendStop(const TaskKey &task_key);
  void onStopReply(const TaskKey &task_key, int64_t run,
                   const jobs::EndpointId &at, int64_t born,
                   const OrderReply &reply);
  void retryStops();
  void stopOrphanedRun(EndpointView &at, const EndpointView::RunKey &key);
  void releaseTask(const TaskKey &task_key, TaskPhase next);
  TaskState *findTaskState(const TaskKey &task_key);
  const jobs::StepSpec *findStep(const TaskKey &task_key) const;

  // dispatcher_renewals.cpp
  void renew(EndpointView &endpoint);
  bool hasUnansweredStarts(const EndpointView &endpoint) const;
  void onRenewed(const jobs::EndpointId &id, int64_t born, core::TimeMs sent,
                 const RenewReply &reply);
  void applyInventory(EndpointView &endpoint, core::TimeMs sent,
                      const RunInventory &inventory);
  void applyRunning(EndpointView &endpoint, const RunReport &report);
  void applyEnd(EndpointView &endpoint, const EndReport &report);
  void releaseMissingRuns(EndpointView &endpoint, core::TimeMs sent,
                          const RunInventory &inventory);
  /// Takes an endpoint back that was given up, once its open orders are barred.
  void readmit(EndpointView &endpoint);
  void stopUnresolvedStarts(EndpointView &endpoint);
  void resolveUnansweredStart(const TaskKey &task_key, TaskState &state);
  void releaseLostRuns(EndpointView &endpoint);
  void declareLostIfLapsed(EndpointView &endpoint);
  bool isPoolRead(const core::PoolId &pool) const;
  /// All endpoints have been read, or waited for long enough.
  bool isFleetRead() const;

  // dispatcher_placing.cpp
  struct ReadyStep;
  struct PoolCapacity;
  void placeReadySteps();
  void collectReadySteps(std::vector<ReadyStep> &out);
  /// False where a task found no room.
  bool placeStep(const ReadyStep &ready,
                 const std::vector<EndpointView *> &pool);
  void placeGang(const ReadyStep &ready,
                 const std::vector<EndpointView *> &pool);
  StepCandidates candidatesFor(const ReadyStep &ready,
                               const std::vector<EndpointView *> &pool) const;
  std::map<core::PoolId, PoolCapacity> usablePools();
  bool isWithinLimit(const core::TeamId &team, const core::Size &need) const;
  /// What each team may have running on endpoints that were not read yet.
  std::map<core::TeamId, core::Size> unreadUsageByTeam() const;
  core::Size unreadUsageOf(const OpenJob &job) const;
  bool ensureTickets(const ReadyStep &ready,
                     const std::vector<EndpointView *> &pool);
  int64_t nextRunNumber(int64_t last) const;

  // dispatcher_maintenance.cpp
  VmOperationHooks maintenanceHooks();
  void recordEvents(std::vector<jobs::Event> events,
                    std::function<void(bool)> done);
  VmLoad loadOf(const core::VmId &vm) const;
  bool keepsBudgets(const EndpointView &endpoint) const;
  /// The task's step has an availability budget, and its job goes on.
  bool hasBudget(const TaskKey &task_key) const;
  /// Ending a run of the task keeps the availability budget of its step.
  bool mayEndRun(const TaskKey &task_key) const;
  /// The order ends nothing beyond a budget, as far as is known now.
  bool mayEndAllRuns(const VmOrder &order) const;
  /// An order that ends all that the VM runs may still be carried out.
  bool hasUnresolvedVmOrder(const jobs::EndpointFacts &facts) const;
  int64_t countMissing(const TaskKey &first,
                       const jobs::EndpointId &besides) const;
  /// Other tasks of its step that are not surely at work.
  int64_t countOtherMissing(const TaskKey &task_key) const;
  bool isConfirmedAtWork(const TaskState &state) const;
  TaskKey firstTaskOfStep(const TaskKey &task_key) const;
  std::string describeBudget(const TaskKey &task_key) const;
  void reportVmOrder(const VmOrder &order);
  /// Whether the order may leave, by what is known when that is asked.
  std::function<bool()> makeSendCheck(const VmOrder &order);
  void evacuate(const core::VmId &vm);
  bool hasCapacityFor(const jobs::StepSpec &step, const core::PoolId &pool);

  // dispatcher_moves.cpp
  void recordArrival(const core::PoolId &pool, int64_t work);
  int64_t forecastDemand(const core::PoolId &pool, int64_t waiting);
  int64_t arrivalRate(const core::PoolId &pool);
  std::map<core::PoolId, int64_t> demandByPool();
  std::map<core::PoolId, int64_t> minVmsByPool() const;
  std::vector<PoolDemand> poolDemands();
  void logDemands(const std::vector<PoolDemand> &demands);
  void balancePools();

  const DispatcherOptions Options;
  const DispatcherHooks Hooks;
  const jobs::Ledger &Ledger;
  mutable jobs::ConfigIndex Index;
  bool Active = false;
  uint64_t Epoch = 0;
  core::TimeMs LeadingSince;
  /// No endpoint was known when the member began to lead.
  bool FleetWasEmpty = false;
  std::map<jobs::JobId, OpenJob> OpenJobs;
  std::map<jobs::EndpointId, EndpointView> Endpoints;
  std::map<core::TeamId, core::Size> TeamUsage;
  /// As of the last pass.
  std::map<core::TeamId, core::Size> TeamUnreadUsage;
  std::map<core::QueueId, policy::DurationModel> RunTimes;
  std::map<jobs::JobId, Submission> Submissions;
  policy::RefusalHistory Resubmissions;

  std::vector<jobs::Event> Outbox;
  std::vector<std::function<void(bool)>> OutboxCallbacks;
  std::vector<std::function<void(bool)>> RecordingCallbacks;
  bool Recording = false;
  /// The newest configuration that was recorded, durable or not.
  uint64_t RecordedConfigVersion = 0;
  bool PassScheduled = false;
  core::TimeMs LastPass{INT64_MIN / 2};
  /// Answers of an earlier leadership are told by it.
  uint64_t Generation = 0;
  core::TimeMs ExpiryDue;
  core::TimeMs DemandLogDue;
  /// What one VM gives; the largest that is known.
  int64_t LargestVmMilliCpus = 0;
  VmListCache Vms;
  VmOrderSender VmOrders;
  MaintenanceScheduler Maintenance;
  VmMover Mover;
  std::map<core::PoolId, std::deque<std::pair<core::TimeMs, int64_t>>> Arrivals;
  std::map<core::PoolId, std::deque<std::pair<core::TimeMs, int64_t>>>
      DemandHistory;
};

} // namespace almondgate::dispatch

#endif
