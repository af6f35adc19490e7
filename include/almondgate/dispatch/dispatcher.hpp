#ifndef ALMONDGATE_DISPATCH_DISPATCHER_HPP
#define ALMONDGATE_DISPATCH_DISPATCHER_HPP

#include "almondgate/dispatch/cold_endpoints.hpp"
#include "almondgate/dispatch/dispatcher_hooks.hpp"
#include "almondgate/dispatch/dispatcher_options.hpp"
#include "almondgate/dispatch/endpoint_agenda.hpp"
#include "almondgate/dispatch/endpoint_pools.hpp"
#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/dispatch/fence_counter.hpp"
#include "almondgate/dispatch/job_budget.hpp"
#include "almondgate/dispatch/job_loads.hpp"
#include "almondgate/dispatch/maintenance_scheduler.hpp"
#include "almondgate/dispatch/near_group.hpp"
#include "almondgate/dispatch/near_waits.hpp"
#include "almondgate/dispatch/open_job.hpp"
#include "almondgate/dispatch/pending_configs.hpp"
#include "almondgate/dispatch/vm_mover.hpp"
#include "almondgate/dispatch/vm_order_sender.hpp"
#include "almondgate/jobs/config_index.hpp"
#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/jobs/evacuation_list.hpp"
#include "almondgate/jobs/explain_request.hpp"
#include "almondgate/jobs/explanation.hpp"
#include "almondgate/jobs/job_call.hpp"
#include "almondgate/jobs/job_reply.hpp"
#include "almondgate/jobs/ledger.hpp"
#include "almondgate/policy/duration_model.hpp"
#include "almondgate/policy/job_admission.hpp"
#include "almondgate/policy/job_timing.hpp"
#include "almondgate/policy/loop_delay.hpp"
#include "almondgate/policy/refusal_history.hpp"
#include "almondgate/policy/remote_share.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondgate::dispatch {

class StepCandidates;

/// Runs jobs while its control member leads: admits jobs, sends orders to
/// endpoints, renews the leases of endpoints and makes the ends of runs
/// durable. Owns no socket, file or thread.
///
/// A task is started only when no earlier run of it can be in progress. An
/// unanswered order is resolved first; after a change of leader, the inventory
/// of every endpoint of the pool must have been read or its lease must have
/// expired.
class Dispatcher {
public:
  using OnReply = std::function<void(core::Result<jobs::JobReply>)>;
  using OnStatus = std::function<void(core::Status)>;

  Dispatcher(DispatcherOptions options, DispatcherHooks hooks,
             const jobs::Ledger &ledger);

  /// Starts to act as the leader. `epoch` must be durable.
  void startLeading(uint64_t epoch);

  /// Prepares a planned change of leader: gives no further starts, and calls
  /// `done` once the outstanding ones are answered or recorded as unanswered.
  void prepareHandOver(std::function<void()> done);

  /// Stops acting as the leader and discards all state that is not in the
  /// ledger. Pending callers receive Unavailable with an unknown outcome.
  void stopLeading();

  /// Updates the dispatcher's state after `event` was applied to the ledger.
  /// To be called on all members, leading or not.
  void onEventApplied(const jobs::Event &event);

  /// Updates the dispatcher's state after the ledger was replaced as a whole.
  void onLedgerReplaced();

  /// Does the time-driven work: renewals, retries, maintenance, moves and
  /// expiry. To be called periodically, as ControlTask does every 50 ms; has no
  /// effect on a member that does not lead.
  void tick();

  /// Serves a request of a caller. Errors: NotLeader; Unavailable where it is
  /// not known whether the request was accepted.
  void handleCall(const jobs::JobCall &call, const OnReply &done);

  /// Registers or updates an endpoint that sent a heartbeat. A heartbeat is
  /// ignored if its incarnation has ended or is older than the known one, or if
  /// it is the known one and `sequence` is not newer; known is also one whose
  /// record is not durable yet. It is ignored as well if its pool is not
  /// configured or it contradicts what is known of its incarnation, as
  /// heartbeats of other writers may. Errors: NotLeader;
  /// Unavailable where it is not known whether the change is durable.
  void handleHeartbeat(const jobs::EndpointFacts &facts, int64_t sequence,
                       const OnStatus &done);

  /// Notes how long an endpoint remains slow after its start, as its heartbeat
  /// reports; 0 for not at all. To be called before handleHeartbeat() of the
  /// same heartbeat. Nothing is recorded.
  void reportColdTime(const jobs::EndpointFacts &facts, int64_t remaining_ms);

  /// Removes an endpoint that shuts down; `born_ms` 0 means the incarnation
  /// known here. Errors: as handleHeartbeat().
  void handleLeave(const jobs::EndpointId &id, int64_t born_ms,
                   const OnStatus &done);

  /// Records a configuration from an operator, which must be valid. One that
  /// is not newer than the current one is ignored. Errors: as
  /// handleHeartbeat().
  void configure(const jobs::FleetConfig &config, const OnStatus &done);

  /// Returns the newest durable configuration. Errors: NotLeader.
  core::Result<jobs::FleetConfig> config() const;

  /// Returns the text that the newest durable configuration was parsed from;
  /// empty before the first. Errors: NotLeader.
  core::Result<std::string> configSource() const;

  /// Records a maintenance wave that an operator requested. A wave whose
  /// number is known already is ignored. Errors: as handleHeartbeat().
  void startWave(const jobs::WaveRecord &wave, const OnStatus &done);

  /// Tells whether all maintenance of the wave is complete. Errors: NotLeader,
  /// NotFound.
  core::Result<bool> isWaveCompleted(int64_t number) const;

  /// Records an operator's request to evacuate a zone, or to withdraw that. A
  /// change that is in effect already is acknowledged without a record. Errors:
  /// as handleHeartbeat(); InvalidArgument; Conflict if the change has another
  /// basis than evacuations() gives now; NeverFits if too many zones are under
  /// evacuation.
  void setEvacuation(const jobs::EvacuationChange &change,
                     const OnStatus &done);

  /// Returns the open evacuations. Errors: NotLeader.
  core::Result<jobs::EvacuationList> evacuations() const;

  /// Tells where a job would run now and why, by the decisions that a
  /// submission and a placement pass take. Changes nothing. Errors: NotLeader;
  /// NotFound for a job that is not open, a queue or a team; InvalidArgument
  /// for a job that would be refused as invalid.
  core::Result<jobs::Explanation> explain(const jobs::ExplainRequest &request);

  /// True while the member leads and no other member may lead.
  bool isActive() const { return Active && Hooks.MayAct(); }

  /// Describes each sum that differs from one computed anew, for tests.
  std::vector<std::string> checkSums();

  /// Whether a run of the task may be in progress at the endpoint, as far as is
  /// known here; true as well for tasks that start no more. For tests.
  bool mayBeInProgressAt(const jobs::TaskRef &task,
                         const jobs::EndpointId &at) const;

  /// All known endpoints, as the leader sees them.
  const std::map<jobs::EndpointId, EndpointView> &endpoints() const {
    return Endpoints;
  }

  /// The bytes that the jobs in the ledger take.
  core::BudgetReading jobsReading() const { return JobBytes.reading(); }

private:
  using TaskKey = EndpointView::TaskKey;

  /// A job whose acceptance is not durable yet.
  struct Submission {
    /// Identifies the call; empty where the caller sent no identity.
    std::string Call;
    std::vector<OnReply> Callbacks;
    /// What it adds to the load of its pool once it is durable.
    core::PoolId Pool;
    core::TimeMs Due;
    policy::JobDemand Demand;
  };

  /// What became of submissions to a pool since the last log line about it.
  struct AdmissionCounts {
    int64_t Accepted = 0;
    int64_t Refused = 0;
  };

  // dispatcher.cpp
  /// The index of the ledger's current configuration. Brought up to date on
  /// access: the ledger applies all events of a batch before the first of them
  /// is passed to onEventApplied().
  const jobs::ConfigIndex &index() const;
  /// Queues an event to be made durable; `done` receives whether it is.
  void recordEvent(jobs::Event event, std::function<void(bool)> done = {});
  /// Runs `done` once all events recorded so far are durable.
  void afterRecorded(std::function<void(bool)> done);
  /// Passes the recorded events on to be made durable.
  void flush();
  /// Schedules a pass, which places waiting tasks and flushes recorded events.
  void schedulePass();
  /// Returns a function that estimates run times of the queue's steps.
  policy::PredictStep runTimeEstimator(const core::QueueId &queue) const;
  void openJob(const jobs::JobRecord &record, bool inherited);
  void onJobAccepted(const jobs::JobAccepted &event);
  void onJobCancelled(const jobs::JobId &id);
  void onTaskEnded(const jobs::TaskEnded &event);
  /// Records the newest pending configuration unless one is being recorded.
  void recordNextConfig();
  jobs::Event makeConfigEvent(const jobs::FleetConfig &config);
  /// The facts of the endpoint's newest incarnation, durable or not; null if
  /// none is known.
  const jobs::EndpointFacts *findNewestFacts(const jobs::EndpointId &id) const;
  /// Records the facts of an incarnation unless a newer one is known, durable
  /// or not. `sequence` is that of the heartbeat that they come from.
  void recordRegistration(const jobs::EndpointFacts &facts, int64_t sequence,
                          std::function<void(bool)> done);
  /// False for a heartbeat that can't come from an endpoint of the fleet.
  bool isPlausible(const jobs::EndpointFacts &facts) const;
  /// Calls an incarnation that was heard of, and is not registered yet, with a
  /// token above those of all orders for the known one.
  void fenceSuccessor(EndpointView &known, const jobs::EndpointFacts &next);
  void onEndpointRegistered(const jobs::EndpointFacts &facts);
  /// Removes from an endpoint's old incarnation the runs whose start orders its
  /// next incarnation may still carry out, and returns them.
  std::set<TaskKey> takeUnresolvedStarts(EndpointView &old_incarnation);
  /// Remembers the start orders that an endpoint declared lost may still carry
  /// out.
  void recordUnresolvedStarts(EndpointView &endpoint);
  void onEndpointIdled(const jobs::EndpointIdled &event);
  void onEndpointGone(const jobs::EndpointId &id, int64_t born_ms);
  void closeIfFinished(const jobs::JobId &id);
  /// Brings the pools of jobs up to date after a change of the configuration.
  /// To be called before Loads is read: the ledger applies events before they
  /// are passed to onEventApplied().
  void updateLoads();
  void expireJobs();

  // dispatcher_calls.cpp
  policy::JobAdmissionInput admissionInput(const jobs::JobSpec &spec,
                                           const jobs::QueueSpec &queue,
                                           core::TimeMs sent) const;
  policy::JobAdmissionDecision
  decideAdmission(const jobs::QueueSpec &queue,
                  const policy::JobAdmissionInput &input) const;
  policy::JobDemand remainingLoadOf(const OpenJob &job) const;
  policy::JobDemand initialLoadOf(const jobs::JobSpec &spec,
                                  const core::QueueId &queue) const;
  /// A VM could run a task of the step, as far as its size is concerned.
  bool fitsAnyVm(const jobs::StepSpec &step) const;
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
                                         int64_t born_ms, core::TimeMs given,
                                         OrderReply &reply);
  void startTask(const TaskKey &task_key, EndpointView &at, int64_t run);
  /// A task of the job has begun.
  void recordStarted(OpenJob &job);
  void sendStart(const TaskKey &task_key);
  void onStartReply(const TaskKey &task_key, int64_t run,
                    const jobs::EndpointId &at, int64_t born_ms,
                    core::TimeMs given, OrderReply reply);
  /// Returns a function that tells whether a start order for the task's run may
  /// be sent, as makeSendCheck() does. Sets `withheld` if only the evacuation
  /// of the endpoint's zone forbids it.
  DispatcherHooks::MaySend
  makeStartCheck(const TaskKey &task_key, const TaskState &ordered,
                 const std::shared_ptr<bool> &withheld);
  /// Returns a function that tells whether an order for the task's run may be
  /// sent: the member leads, the endpoint is still the same incarnation, and
  /// the run is still in `phase`.
  DispatcherHooks::MaySend makeSendCheck(const TaskKey &task_key,
                                         const TaskState &ordered,
                                         TaskPhase phase);
  /// Returns a function that tells whether the member still leads in this term.
  DispatcherHooks::MaySend makeLeaderCheck();
  /// As makeLeaderCheck(), and whether the endpoint is still this incarnation.
  DispatcherHooks::MaySend makeRenewalCheck(const jobs::EndpointFacts &to);
  /// Stops the task's run; `reason` is logged and counted in "stop_orders".
  void stopTask(const TaskKey &task_key, const char *reason);
  void sendStop(const TaskKey &task_key);
  void onStopReply(const TaskKey &task_key, int64_t run,
                   const jobs::EndpointId &at, int64_t born_ms,
                   core::TimeMs given, OrderReply reply);
  void retryStops();
  void stopOrphanedRun(EndpointView &at, const EndpointView::RunKey &key);
  void releaseTask(const TaskKey &task_key, TaskPhase next);
  OpenJob *findOpenJob(const jobs::JobId &id) const;
  void forgetJob(const jobs::JobId &id);
  TaskState *findTaskState(const TaskKey &task_key) const;
  /// Changes the phase of a task; its job must be known.
  void setPhase(const TaskKey &task_key, TaskPhase phase);
  const jobs::StepSpec *findStep(const TaskKey &task_key) const;

  // dispatcher_late_starts.cpp
  /// Notes that the start order of the task's run at the endpoint, which has no
  /// answer, may be carried out late.
  /// `given_up` tells that its connection was reset.
  void addLateStart(const TaskKey &task_key, const jobs::EndpointId &at,
                    bool given_up = false);
  void logLateStartOver(const TaskKey &task_key, const LateStart &late);
  /// The endpoint has the run: an order that was sent once was carried out.
  void removeLateStart(TaskState &state, const jobs::EndpointId &at,
                       int64_t run);
  core::TimeMs lastLeaseCallEnd(const EndpointView &endpoint) const;
  void keepLeaseCalls(EndpointView &removed);
  /// Calls that extend the lease and are still open end without an answer.
  void closeLeaseCalls(EndpointView &endpoint);
  /// Holds the task of a run back whose start was answered, if an unknown
  /// incarnation of the endpoint may have it.
  void holdUnlistedRun(const TaskKey &task_key, const jobs::EndpointId &at);
  bool isLongRunning(const TaskKey &task_key) const;
  void expireLateStarts();
  /// The endpoint was read, with a higher fencing token, after the order was
  /// given up: it is carried out no more, and the inventory shows the run if it
  /// was.
  bool isSettled(const LateStart &late) const;
  /// Until when a run of the order may be in progress at an endpoint that does
  /// not answer.
  core::TimeMs latestEnd(const TaskKey &task_key, const LateStart &late) const;
  void recordEnded(const jobs::EndpointId &id, int64_t born_ms);
  /// An order for the run may be carried out late at the endpoint.
  static bool isLateStart(const TaskState &state, const jobs::EndpointId &at,
                          int64_t run);
  /// No run of the order can be in progress unseen, or begin, unless the
  /// endpoint starts again.
  bool isOver(const TaskKey &task_key, const LateStart &late) const;
  /// The same, whatever happens to the endpoint.
  bool isExpired(const TaskKey &task_key, const LateStart &late) const;
  /// Takes over the starts of earlier leaders that may be carried out late.
  void inheritLateStarts(const jobs::JobRecord &record, OpenJob &job);
  void handOverIfReady();
  /// A run of the task may be in progress unseen, or is being stopped: it
  /// starts nowhere.
  bool mayBeInProgress(const TaskKey &task_key, const TaskState &state) const;

  // dispatcher_renewals.cpp
  void renew(EndpointView &endpoint);
  core::DurationMs renewWait(const EndpointView &endpoint) const;
  /// A renewal of the endpoint may stay open until a run ends.
  bool mayWaitForEnds(const EndpointView &endpoint) const;
  void renewAgain(EndpointView &endpoint);
  bool hasUnansweredStarts(const EndpointView &endpoint) const;
  core::DurationMs outstandingStartTime(const EndpointView &endpoint) const;
  void onRenewed(const jobs::EndpointId &id, int64_t born_ms, core::TimeMs sent,
                 const RenewRequest &request, const RenewReply &reply);
  /// Re-registers an endpoint that was declared lost, once all its unresolved
  /// starts are stopped.
  void readmit(EndpointView &endpoint);
  void stopUnresolvedStarts(EndpointView &endpoint);
  void declareLostIfExpired(EndpointView &endpoint);
  /// All endpoints have been read that an earlier leader may have started tasks
  /// of the job on.
  bool areEndpointsRead(const OpenJob &job) const;
  /// No run of an earlier leader is in progress at the endpoint unseen.
  void clearEarlierRuns(EndpointView &endpoint);
  /// Does so for all endpoints that have not answered, once the leases of
  /// before have expired.
  void expireEarlierRuns();
  core::TimeMs earlierRunsEnd(const EndpointView &endpoint) const;
  /// Tasks of the job may be in progress at endpoints of the pool.
  static bool mayRunIn(const OpenJob &job, const core::PoolId &pool);
  /// All endpoints have been read, or the time limit for reading them passed.
  bool isFleetRead() const;

  // dispatcher_inventory.cpp
  void applyInventory(EndpointView &endpoint, core::TimeMs sent,
                      const RunInventory &inventory);
  /// Returns true if the report is the first in this inventory of a run that
  /// is known at the endpoint.
  bool applyRunning(EndpointView &endpoint, const RunReport &report);
  void applyEnd(EndpointView &endpoint, const EndReport &report);
  bool mayBeEnding(EndpointView &endpoint, std::optional<core::TimeMs> &since,
                   core::TimeMs sent) const;
  void releaseMissingRuns(EndpointView &endpoint, core::TimeMs sent);
  void resolveUnansweredStart(const TaskKey &task_key, TaskState &state);
  /// Releases all runs of the endpoint; the reason is for the log.
  void releaseLostRuns(EndpointView &endpoint, const std::string &reason);
  static std::string describeIncarnation(const EndpointView &endpoint);
  std::string describeContact(const EndpointView &endpoint) const;
  void releaseOrphan(const EndpointView::RunKey &key,
                     const OrphanedRun &orphan);
  /// Releases the runs that ended when the endpoint's lease expired.
  void releaseExpiredRuns(EndpointView &endpoint);

  // dispatcher_evacuations.cpp
  struct ReadyStep;
  struct PoolCapacity;
  jobs::EvacuationBasis evacuationBasis() const;
  std::vector<jobs::EvacuatedEndpoint> runsInEvacuatedZones() const;
  void onEvacuationChange(const char *what, const core::ZoneId &zone,
                          const std::string &by, const std::string &reason,
                          uint64_t base);
  /// Logs which runs remain in evacuated zones, every few seconds.
  void logEvacuations();
  /// The endpoint's zone is under evacuation.
  bool isEvacuated(const EndpointView &endpoint) const;
  /// The endpoint counts towards the capacity that is available for new work:
  /// it serves, and its zone is not under evacuation.
  bool isAvailable(const EndpointView &endpoint) const;
  bool isVmEvacuated(const core::VmId &vm) const;
  /// All VMs of the pool are in evacuated zones, and no other VM could come.
  bool isPoolEvacuated(const core::PoolId &pool) const;
  /// The order moves the VM into a pool that is not a spare pool.
  bool bringsVmIntoService(const VmOrder &order) const;
  /// The order ends no run that must not end, and brings no VM of an evacuated
  /// zone into a pool.
  bool mayCarryOut(const VmOrder &order) const;
  /// Releases a task whose start order was not sent because of an evacuation.
  void releaseWithheldStart(const TaskKey &task_key, int64_t run,
                            const jobs::EndpointId &at);
  std::vector<ReadyStep> longRunningSteps();
  bool isInEvacuatedZone(const TaskState &state) const;
  bool mayMoveOut(const TaskKey &task_key) const;
  void moveOutOfEvacuatedZones();

  // dispatcher_placing.cpp
  void placeReadySteps();
  void collectReadySteps(OpenJob &job, int64_t largest_free,
                         std::vector<ReadyStep> &out);
  /// Not all endpoints of the pool may run the step's tasks, whatever room they
  /// have.
  static bool isConstrained(const ReadyStep &ready);
  /// Returns false if a task fits on no endpoint.
  bool placeStep(const ReadyStep &ready,
                 const std::vector<EndpointView *> &pool);
  /// Starts one task; returns false if it fits on none of the candidates.
  bool placeTask(const ReadyStep &ready, size_t index,
                 StepCandidates &candidates);
  std::vector<EndpointView *>
  chooseForGang(const ReadyStep &ready,
                const std::vector<EndpointView *> &members) const;
  void placeGang(const ReadyStep &ready,
                 const std::vector<EndpointView *> &pool);
  StepCandidates candidatesFor(const ReadyStep &ready,
                               const std::vector<EndpointView *> &pool,
                               TicketUse use = TicketUse::Start) const;
  bool isUsable(const EndpointView &endpoint) const;
  /// Unless the endpoint is to be left alone for a while.
  bool acceptsStarts(const EndpointView &endpoint) const;
  /// One more task of the step may start, as far as limits and orders go.
  bool mayStartTask(const ReadyStep &ready) const;
  /// Whether `n` further start orders may be given together.
  bool mayOrderStarts(size_t n) const;
  bool isWithinLimit(const core::TeamId &team, const core::Size &need) const;
  /// The most that each team may have running on endpoints that have not been
  /// read yet.
  std::map<core::TeamId, core::Size> unreadUsageByTeam() const;
  core::Size unreadUsageOf(const OpenJob &job) const;
  int64_t nextRunNumber(int64_t last) const;

  // dispatcher_near_wait.cpp
  NearWaits::Hooks nearWaitHooks();
  void beginNearWaitPass();
  /// The tasks of the step run better on some endpoints than on others.
  static bool prefersPlace(const jobs::StepSpec &step);
  /// The task or gang runs slower on these endpoints than near.
  static bool isRemote(const jobs::StepSpec &step,
                       const std::vector<EndpointView *> &at);
  /// Expected run time of a task near, in milliseconds.
  int64_t nearRunMs(const core::QueueId &queue,
                    const jobs::StepSpec &step) const;
  std::vector<ExpectedRun> expectedRuns(const EndpointView &endpoint) const;
  NearGroup &nearGroupOf(const ReadyStep &ready,
                         const std::vector<EndpointView *> &pool);
  static NearWait &nearWaitOf(const ReadyStep &ready);
  NearWaits::Request nearWaitRequest(const ReadyStep &ready) const;
  /// Counts the step's tasks that run near.
  int64_t countOnNear(const ReadyStep &ready) const;
  /// The endpoints with the label and the tickets that the step requires.
  std::vector<EndpointView *>
  eligibleFor(const ReadyStep &ready,
              const std::vector<EndpointView *> &endpoints) const;
  /// Places tasks near their data, or elsewhere once they don't wait for a
  /// nearby place. Returns false if a task fits on no endpoint.
  bool placeNearData(const ReadyStep &ready,
                     const std::vector<EndpointView *> &pool,
                     const std::vector<size_t> &tasks);
  bool waitsForNearPlace(const ReadyStep &ready,
                         const std::vector<EndpointView *> &pool,
                         const std::vector<std::vector<EndpointView *>> &near);
  /// Returns an endpoint for each member of a gang that prefers a place, or
  /// none if it has to wait.
  std::vector<EndpointView *>
  choosePreferred(const ReadyStep &ready,
                  const std::vector<EndpointView *> &pool);

  // dispatcher_explain.cpp
  void explainSteps(OpenJob &job, jobs::Explanation &out);
  jobs::StepExplanation explainStep(const ReadyStep &ready);
  /// Why no task of the step may start at the endpoint now; null if one may.
  const char *reasonToPassOver(const EndpointView &endpoint,
                               const jobs::StepSpec &step) const;

  // dispatcher_tickets.cpp
  /// An occurrence of a step.
  using StepKey = std::tuple<jobs::JobId, int64_t, int64_t>;
  /// Asks for the tickets that the step lacks. Returns whether any endpoint may
  /// run its tasks now.
  bool ensureTickets(const ReadyStep &ready,
                     const std::vector<EndpointView *> &pool);
  /// Sends the requests that wait, as far as there is room for them.
  void sendAdviceRequests();
  /// The endpoints to ask about next for the step.
  std::vector<const EndpointView *> endpointsToAsk(const StepKey &step);
  void sendAdviceRequest(const StepKey &step,
                         const std::vector<const EndpointView *> &endpoints);
  /// Records the tickets granted. `asked` are the incarnations, by
  /// EndpointFacts::BornMs, that the answer holds for.
  void onAdvice(const AdviceRequest &request,
                const std::map<jobs::EndpointId, int64_t> &asked,
                core::TimeMs sent,
                const core::Result<std::vector<Ticket>> &answer);
  /// Adapts the number of endpoints in a request to how long one took and may
  /// take.
  void resizeAdviceRequests(core::DurationMs elapsed, core::DurationMs longest);
  StepTickets *findTickets(const StepKey &step) const;
  /// The endpoint has rejected the ticket.
  void forgetTicket(const TaskKey &task_key, const jobs::EndpointId &at);

  // dispatcher_maintenance.cpp
  VmOperationHooks maintenanceHooks();
  void recordEvents(std::vector<jobs::Event> events,
                    std::function<void(bool)> done);
  /// The endpoints known on a VM: one, or two while the older of them is not
  /// known to be gone.
  std::vector<EndpointView *> endpointsOf(const core::VmId &vm) const;
  /// Adds the endpoint to the indexes by VM, pool and address, or takes it out.
  void link(EndpointView &endpoint);
  void unlink(EndpointView &endpoint);
  VmLoad loadOf(const core::VmId &vm) const;
  bool keepsBudgets(const EndpointView &endpoint) const;
  /// The task's step has an availability budget, and its job is open.
  bool hasBudget(const TaskKey &task_key) const;
  /// Ending a run of the task keeps to the availability budget of its step.
  bool mayEndRun(const TaskKey &task_key) const;
  /// The task's run is not known to be at work, or mayEndRun().
  bool mayStop(const TaskKey &task_key) const;
  /// As far as is known now, the runs that the order ends are within their
  /// availability budgets.
  bool mayEndAllRuns(const VmOrder &order) const;
  /// A maintenance or move order that ends all runs of the VM may still be
  /// carried out.
  bool hasUnresolvedVmOrder(const jobs::EndpointFacts &facts) const;
  /// Gives VMs back to placement whose move by an earlier leader was not
  /// carried out within the order lease.
  void releaseInheritedMoves();
  int64_t countMissing(const TaskKey &first,
                       const jobs::EndpointId &excluded) const;
  /// Counts the other tasks of its step that are not confirmed ready.
  int64_t countOtherMissing(const TaskKey &task_key) const;
  bool isConfirmedReady(const TaskState &state) const;
  /// How much longer, by the endpoint's clock, stops that an earlier leader
  /// ordered may be in progress there; not above 0 once they are over.
  core::DurationMs
  remainingInheritedStopTime(const EndpointView &endpoint) const;
  TaskKey firstTaskOfStep(const TaskKey &task_key) const;
  std::string describeBudget(const TaskKey &task_key) const;
  void reportVmOrder(const VmOrder &order);
  /// Returns a function that tells whether the order may be sent, by what is
  /// known at the time of its call.
  DispatcherHooks::MaySend makeSendCheck(const VmOrder &order);
  void evacuate(const core::VmId &vm);
  bool hasCapacityFor(const jobs::StepSpec &step, const core::PoolId &pool);

  // dispatcher_moves.cpp
  void recordArrival(const core::PoolId &pool, int64_t work);
  int64_t forecastDemand(const core::PoolId &pool, int64_t waiting);
  int64_t arrivalRate(const core::PoolId &pool);
  std::vector<const EndpointView *> countServing(const core::PoolId &pool,
                                                 policy::PoolBalance &balance);
  std::vector<PoolDemand> poolDemands();
  std::string describeDemand(const PoolDemand &demand) const;
  core::DurationMs longestWait(const core::PoolId &pool) const;
  int64_t lateDemand(const core::PoolId &pool) const;
  /// The demand of the job's tasks that no VM could run.
  int64_t unplaceableDemand(const OpenJob &job) const;
  void logDemands(const std::vector<PoolDemand> &demands);
  void balancePools();

  const DispatcherOptions Options;
  const DispatcherHooks Hooks;
  const jobs::Ledger &Ledger;
  const LeaseTerms Terms;
  mutable jobs::ConfigIndex Index;
  bool Active = false;
  uint64_t Epoch = 0;
  FenceCounter Fences;
  core::TimeMs LeadingSince;
  /// The endpoints that were known when the member became the leader and have
  /// not been read since; empty once all leases of before have expired.
  std::set<jobs::EndpointId> EarlierEndpoints;
  /// No endpoint was known when the member became the leader.
  bool FleetWasEmpty = false;
  std::map<jobs::JobId, OpenJob> OpenJobs;
  /// OpenJobs by id; a look-up by hash takes a third of the time.
  std::unordered_map<jobs::JobId, OpenJob *> OpenJobsById;
  /// The load of OpenJobs; their tasks change their phase through it.
  JobLoads Loads;
  /// Version of the configuration by which Loads counts jobs in their pools.
  uint64_t LoadsVersion = 0;
  std::map<jobs::EndpointId, EndpointView> Endpoints;
  /// The endpoints in Endpoints by pool; to be told of each change of them.
  EndpointPools Pools;
  /// Those of them that a tick has to look at.
  EndpointAgenda Agenda;
  /// The endpoints in Endpoints by the VM that they run on.
  std::map<core::VmId, std::map<jobs::EndpointId, EndpointView *>>
      EndpointsByVm;
  /// Renewals that are open and wait for a run to end.
  size_t WaitingRenewals = 0;
  /// The steps that wait to ask for tickets, each once, and the requests that
  /// are outstanding.
  std::deque<StepKey> AdviceWaiting;
  size_t OpenAdviceCalls = 0;
  /// The most endpoints in one request.
  size_t AdvisedAtOnce = AdviceRequest::MaxEndpoints;
  std::map<core::TeamId, core::Size> TeamUsage;
  /// Result of unreadUsageByTeam() in the last pass.
  std::map<core::TeamId, core::Size> TeamUnreadUsage;
  std::map<core::QueueId, policy::DurationModel> RunTimes;
  /// Of the runs in RunTimes.
  std::map<core::QueueId, policy::RemoteShare> RemoteShares;
  NearWaits NearPlaces;
  ColdEndpoints ColdStarts;
  /// By pool and rack; gathered in each placement pass as needed.
  std::map<std::pair<core::PoolId, core::RackId>, NearGroup> NearGroups;
  std::map<jobs::JobId, Submission> Submissions;
  JobBudget JobBytes;
  policy::RefusalHistory Resubmissions;

  /// Recorded events that have not been passed on to be made durable.
  std::vector<jobs::Event> Outbox;
  std::vector<std::function<void(bool)>> OutboxCallbacks;
  /// Callbacks of the batch that is being made durable.
  std::vector<std::function<void(bool)>> RecordingCallbacks;
  bool Recording = false;
  PendingConfigs Configs;
  /// Version of the newest configuration recorded, durable or not.
  uint64_t RecordedConfigVersion = 0;
  bool PassScheduled = false;
  /// Number of inventories read, to tell which runs the current one lists.
  uint64_t Inventories = 0;
  /// How many orphaned runs of each task there are.
  std::map<jobs::TaskRef, int64_t> OrphanCounts;
  /// The unanswered starts that the ledger holds once all events are durable;
  /// each task with LateStarts has a row.
  std::map<TaskKey, std::set<jobs::EndpointId>> RecordedStarts;
  /// Facts of an endpoint whose record is not durable yet.
  struct PendingRegistration {
    /// Distinguishes the records of one endpoint.
    uint64_t Number = 0;
    jobs::EndpointFacts Facts;
    int64_t Sequence = 0;
  };
  /// The newest of each endpoint.
  std::map<jobs::EndpointId, PendingRegistration> PendingRegistrations;
  uint64_t LastRegistration = 0;
  /// Endpoints whose VM was restarted or which another one has replaced, and
  /// when that was seen: calls for them are carried out nowhere.
  std::map<jobs::EndpointId, core::TimeMs> Ended;
  /// A planned change of leader is being prepared; no starts are given.
  bool HandingOver = false;
  /// To be called once it is prepared.
  std::function<void()> OnHandOver;
  core::TimeMs HandOverDue;
  core::TimeMs LastPass{INT64_MIN / 2};
  /// By how much passes are late.
  policy::LoopDelay PassDelay;
  /// Increases with each start and end of leadership; replies to requests of
  /// an earlier leadership are recognized by it.
  uint64_t Generation = 0;
  core::TimeMs ExpiryDue;
  core::TimeMs DemandLogDue;
  std::map<core::PoolId, AdmissionCounts> Admissions;
  core::TimeMs EvacuationLogDue;
  core::TimeMs MoveOutDue;
  /// A change of an evacuation is being made durable.
  bool EvacuationPending = false;
  /// As EvacuationBasis::Confirmations.
  uint64_t EvacuationConfirmations = 0;
  /// The most of each resource that any VM seen so far has.
  core::Size LargestVm;
  VmListCache Vms;
  VmOrderSender VmOrders;
  MaintenanceScheduler Maintenance;
  VmMover Mover;
  /// Recently submitted work by pool: time of submission, and work in
  /// millicores times milliseconds.
  std::map<core::PoolId, std::deque<std::pair<core::TimeMs, int64_t>>> Arrivals;
  /// Recent demand by pool: time, and demand in millicores.
  std::map<core::PoolId, std::deque<std::pair<core::TimeMs, int64_t>>>
      DemandHistory;
};

} // namespace almondgate::dispatch

#endif
