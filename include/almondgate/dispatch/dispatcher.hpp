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
#include "almondgate/policy/job_door.hpp"
#include "almondgate/policy/job_timing.hpp"
#include "almondgate/policy/return_memory.hpp"

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
  void begin(uint64_t epoch);

  /// The member leads no longer: everything believed is forgotten.
  void end();

  /// An event has been applied to the ledger.
  void applied(const jobs::Event &event);

  /// Looks at the clock; call every TickInterval while the member leads.
  void tick();

  /// Serves a caller. Errors given: NotLeader, Unavailable where it is not
  /// known whether the request was accepted.
  void call(const jobs::JobCall &call, const OnReply &done);

  /// An endpoint announced itself. Errors given: NotLeader, Unavailable.
  void heartbeat(const jobs::EndpointFacts &facts, int64_t sequence,
                 const OnStatus &done);

  /// An endpoint said that it ends. Errors given: as heartbeat().
  void leave(const jobs::EndpointId &id, int64_t born_ms, const OnStatus &done);

  /// An operator gave a configuration that is valid. Errors: as heartbeat().
  void configure(const jobs::FleetConfig &config, const OnStatus &done);

  /// The newest configuration. Errors: NotLeader.
  core::Result<jobs::FleetConfig> config() const;

  /// The text that the newest configuration was read from; empty before the
  /// first. Errors: NotLeader.
  core::Result<std::string> configSource() const;

  /// An operator asked for a wave. Errors given: as heartbeat().
  void startWave(const jobs::WaveRecord &wave, const OnStatus &done);

  /// Errors: NotLeader, NotFound.
  core::Result<bool> isWaveCompleted(int64_t number) const;

  bool active() const { return Active && Hooks.MayAct(); }

  const std::map<jobs::EndpointId, EndpointView> &endpoints() const {
    return Endpoints;
  }

private:
  using TaskPlace = EndpointView::TaskPlace;

  struct Submission {
    std::string Call;
    std::vector<OnReply> Waiting;
  };

  // dispatcher.cpp
  /// Of the ledger's configuration as it is now: other events of one batch are
  /// told after the ledger has applied all of them.
  const jobs::ConfigIndex &index() const;
  void record(jobs::Event event, std::function<void(bool)> done = {});
  /// Runs `done` once all that was recorded so far is durable.
  void afterRecorded(std::function<void(bool)> done);
  void flush();
  /// Asks for a pass: what waits is placed and what was recorded is sent off.
  void wake();
  /// The run times that a queue's steps are expected to have.
  policy::ExpectStep expecting(const core::QueueId &queue) const;
  void openJob(const jobs::JobRecord &record, bool inherited);
  void onAccepted(const jobs::JobAccepted &event);
  void onCancelled(const jobs::JobId &id);
  void onTaskEnded(const jobs::TaskEnded &event);
  jobs::Event configEvent(const jobs::FleetConfig &config);
  void onRegistered(const jobs::EndpointFacts &facts);
  /// Takes the runs off an endpoint's old life whose orders may still be
  /// carried out by its next one.
  std::set<TaskPlace> takeOpenOrders(EndpointView &old_life);
  /// Keeps the orders of runs that are given up with their endpoint.
  void noteOpenOrders(EndpointView &endpoint);
  void onIdled(const jobs::EndpointIdled &event);
  void onGone(const jobs::EndpointId &id, int64_t born_ms);
  void closeIfEmpty(const jobs::JobId &id);
  void expireJobs();

  // dispatcher_calls.cpp
  policy::DoorVerdict door(const jobs::JobSpec &spec,
                           const jobs::QueueSpec &queue,
                           core::TimeMs sent) const;
  policy::DoorLoad doorLoadOf(const OpenJob &job) const;
  void refuse(const jobs::JobCall &call, const jobs::JobId &id,
              const jobs::QueueSpec &queue, const policy::DoorVerdict &verdict,
              const OnReply &done);
  void submit(const jobs::JobCall &call, const jobs::QueueSpec &queue,
              const jobs::JobId &id, const OnReply &done);
  bool isAcceptedCall(const jobs::JobCall &call) const;
  void submitAgain(const jobs::JobId &id, const OnReply &done);
  jobs::JobReply look(const jobs::JobId &id) const;
  void cancel(const jobs::JobId &id, const OnReply &done);
  int64_t pendingOf(const core::QueueId &queue) const;

  // dispatcher_orders.cpp
  EndpointView *lifeThatAnswered(const jobs::EndpointId &id, int64_t born,
                                 const OrderReply &reply);
  void start(const TaskPlace &place, EndpointView &at, int64_t run);
  void sendStart(const TaskPlace &place);
  void onStartReply(const TaskPlace &place, int64_t run,
                    const jobs::EndpointId &at, int64_t born,
                    const OrderReply &reply);
  /// `why` is told in the log and counted.
  void stop(const TaskPlace &place, const char *why);
  void sendStop(const TaskPlace &place);
  void onStopReply(const TaskPlace &place, int64_t run,
                   const jobs::EndpointId &at, int64_t born,
                   const OrderReply &reply);
  void retryStops();
  void stopStray(EndpointView &at, const EndpointView::StrayKey &key);
  void release(const TaskPlace &place, TaskPhase next);
  TaskSlot *slotOf(const TaskPlace &place);
  const jobs::StepSpec *stepOf(const TaskPlace &place) const;

  // dispatcher_renewals.cpp
  void renew(EndpointView &endpoint);
  bool hasUnanswered(const EndpointView &endpoint) const;
  void onRenewed(const jobs::EndpointId &id, int64_t born, core::TimeMs sent,
                 const RenewReply &reply);
  void readInventory(EndpointView &endpoint, core::TimeMs sent,
                     const RunInventory &inventory);
  void readRunning(EndpointView &endpoint, const RunReport &report);
  void readEnd(EndpointView &endpoint, const EndReport &report);
  void dropVanished(EndpointView &endpoint, core::TimeMs sent,
                    const RunInventory &inventory);
  /// Takes an endpoint back that was given up, once its open orders are barred.
  void readmit(EndpointView &endpoint);
  void barOpenOrders(EndpointView &endpoint);
  void resolveUnanswered(const TaskPlace &place, TaskSlot &slot);
  void loseRuns(EndpointView &endpoint);
  void onUnreachable(EndpointView &endpoint);
  bool isSettled(const core::PoolId &pool) const;
  /// All endpoints have been read, or waited for long enough.
  bool knowsFleet() const;

  // dispatcher_placing.cpp
  struct ReadyStep;
  struct PoolRoom;
  void place();
  void collectReady(std::vector<ReadyStep> &out);
  /// False where a task found no room.
  bool placeStep(const ReadyStep &ready,
                 const std::vector<EndpointView *> &pool);
  void placeGang(const ReadyStep &ready,
                 const std::vector<EndpointView *> &pool);
  StepCandidates candidatesFor(const ReadyStep &ready,
                               const std::vector<EndpointView *> &pool) const;
  std::map<core::PoolId, PoolRoom> usablePools();
  bool withinLimit(const core::TeamId &team, const core::Size &need) const;
  /// What each team may have running on endpoints that were not read yet.
  std::map<core::TeamId, core::Size> unseenByTeam() const;
  core::Size unseenOf(const OpenJob &job) const;
  bool hasTickets(const ReadyStep &ready,
                  const std::vector<EndpointView *> &pool);
  int64_t nextRun(int64_t last) const;

  // dispatcher_upkeep.cpp
  VmOperationHooks upkeepHooks();
  void recordAll(std::vector<jobs::Event> events,
                 std::function<void(bool)> done);
  VmLoad loadOf(const core::VmId &vm) const;
  bool budgetHolds(const EndpointView &endpoint) const;
  /// The task's step has an availability budget, and its job goes on.
  bool hasBudget(const TaskPlace &place) const;
  /// Ending a run of the task keeps the availability budget of its step.
  bool mayEnd(const TaskPlace &place) const;
  /// The order ends nothing beyond a budget, as far as is known now.
  bool mayEndAll(const VmOrder &order) const;
  /// An order that ends all that the VM runs may still be carried out.
  bool isOrderOpen(const jobs::EndpointFacts &facts) const;
  int64_t missingOf(const TaskPlace &first,
                    const jobs::EndpointId &besides) const;
  /// Other tasks of its step that are not surely at work.
  int64_t missingBesides(const TaskPlace &place) const;
  bool isSurelyAtWork(const TaskSlot &slot) const;
  TaskPlace firstOfStep(const TaskPlace &place) const;
  std::string budgetTextOf(const TaskPlace &place) const;
  void noteVmOrder(const VmOrder &order);
  /// Whether the order may leave, by what is known when that is asked.
  std::function<bool()> mayStillOrder(const VmOrder &order);
  void evacuate(const core::VmId &vm);
  bool hasRoomFor(const jobs::StepSpec &step, const core::PoolId &pool);

  // dispatcher_moves.cpp
  void noteArrival(const core::PoolId &pool, int64_t work);
  int64_t forecast(const core::PoolId &pool, int64_t waiting);
  int64_t arrivalRate(const core::PoolId &pool);
  std::map<core::PoolId, int64_t> wantedByPool();
  std::map<core::PoolId, int64_t> fewestVms() const;
  std::vector<PoolDemand> poolDemands();
  void logDemands(const std::vector<PoolDemand> &demands);
  void balancePools();

  const DispatcherOptions Options;
  const DispatcherHooks Hooks;
  const jobs::Ledger &Ledger;
  mutable jobs::ConfigIndex Index;
  bool Active = false;
  uint64_t Epoch = 0;
  core::TimeMs Began;
  /// No endpoint was known when the member began to lead.
  bool NewFleet = false;
  std::map<jobs::JobId, OpenJob> Open;
  std::map<jobs::EndpointId, EndpointView> Endpoints;
  std::map<core::TeamId, core::Size> TeamUsed;
  /// As of the last pass.
  std::map<core::TeamId, core::Size> TeamUnseen;
  std::map<core::QueueId, policy::DurationModel> Durations;
  std::map<jobs::JobId, Submission> Submissions;
  policy::ReturnMemory Returns;

  std::vector<jobs::Event> Outbox;
  std::vector<std::function<void(bool)>> OutboxDone;
  std::vector<std::function<void(bool)>> RecordingDone;
  bool Recording = false;
  /// The newest configuration that was recorded, durable or not.
  uint64_t ConfigRecorded = 0;
  bool Woken = false;
  core::TimeMs LastPass{INT64_MIN / 2};
  /// Answers of an earlier leadership are told by it.
  uint64_t Generation = 0;
  core::TimeMs ExpiryDue;
  core::TimeMs DemandLogDue;
  /// What one VM gives; the largest that is known.
  int64_t PerVmMilliCpus = 0;
  VmListCache List;
  VmOrderSender VmOrders;
  MaintenanceScheduler Upkeep;
  VmMover Mover;
  std::map<core::PoolId, std::deque<std::pair<core::TimeMs, int64_t>>> Arrivals;
  std::map<core::PoolId, std::deque<std::pair<core::TimeMs, int64_t>>> Trends;
};

} // namespace almondgate::dispatch

#endif
