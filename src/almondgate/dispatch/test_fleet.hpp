#ifndef ALMONDGATE_SRC_DISPATCH_TEST_FLEET_HPP
#define ALMONDGATE_SRC_DISPATCH_TEST_FLEET_HPP

#include "almondgate/dispatch/dispatcher.hpp"

#include "test_call_fault.hpp"
#include "test_endpoint.hpp"

#include <deque>
#include <memory>
#include <random>

namespace almondgate::dispatch {

/// A dispatcher with a ledger, endpoints and a VM service in virtual time.
/// Checks invariants whenever an order is sent or carried out, and records each
/// violation. With ALMONDGATE_TEST_LOG set, the dispatcher's log lines go to
/// standard error.
class TestFleet {
public:
  explicit TestFleet(DispatchPolicies policies = {});

  // --- VMs, endpoints and time

  /// Adds a VM with an endpoint, or a switched-off one in a spare pool.
  core::VmId addVm(const std::string &pool, const std::string &rack = "r1",
                   const std::string &zone = "");
  TestEndpoint &endpointOf(const core::VmId &vm);
  /// The VM has an endpoint, and nothing was ordered for it.
  bool isUp(const core::VmId &vm) const;
  /// The VM's endpoint has ended without an order, and is not back yet.
  bool isRestarting(const core::VmId &vm) const;
  /// Restarts the VM's endpoint under a new id; its runs are lost.
  void restart(const core::VmId &vm);
  /// Restarts the VM's endpoint under a new id; its runs take four times as
  /// long during a time, which it reports.
  void restartCold(const core::VmId &vm, int64_t cold_ms);
  /// Restarts the VM's endpoint under the same id; its runs are lost.
  void restartWithSameId(const core::VmId &vm);
  /// How an endpoint comes back under its id.
  struct Return {
    int64_t DownMs = 0;
    /// When its first heartbeat comes, counted from its return.
    int64_t HeartbeatDelayMs = 0;
    /// What its clock shows at its return.
    int64_t ClockMs = 0;
    int64_t ClockLagPerMille = 0;
  };
  /// Ends the VM's endpoint and brings it back under the same id.
  void restartWithSameId(const core::VmId &vm, const Return &as);
  /// Disturbs the next call of the kind to the VM's endpoint that has no fault
  /// yet, whichever incarnation is there.
  void addFault(const core::VmId &vm, CallKind kind, const CallFault &fault);
  /// Withdraws the faults that no call has met yet.
  void clearFaults(const core::VmId &vm);
  /// Runs a function after a time.
  void schedule(int64_t ms, std::function<void()> fn) {
    scheduleAt(Now + ms, std::move(fn));
  }
  void advance(int64_t ms);
  /// The number of runs at all endpoints.
  int64_t running() const;
  /// The number of runs whose stop has been ordered and is being carried out.
  int64_t stopping() const;
  int64_t now() const { return Now; }
  /// All endpoints that are up.
  const std::map<jobs::EndpointId, TestEndpoint> &testEndpoints() const {
    return Endpoints;
  }
  /// When a call last met a fault; 0 if none has.
  int64_t lastDisturbedCall() const { return LastDisturbedCall; }
  /// Time since the fleet was created, as in its log lines.
  int64_t sinceStart() const { return Now - StartMs; }

  // --- leadership

  void lead();
  void stopLeading();
  bool hasLeader() const { return Core != nullptr; }

  // --- callers and operators

  void configure(const std::function<void(jobs::FleetConfig &)> &edit);
  jobs::JobReply submit(const std::string &id, const jobs::JobSpec &spec,
                        const std::string &queue = "q",
                        const std::string &call = "");
  jobs::JobState stateOf(const std::string &id);
  jobs::JobReply cancel(const std::string &id);
  void startWave(int64_t number, const std::vector<core::VmId> &vms,
                 int64_t upper_limit, int64_t duration_ms);
  void drain(const core::VmId &vm);
  /// Requests the evacuation of a zone, or withdraws it, as a control process
  /// does: reads the basis and sends the change. Returns whether the change was
  /// acknowledged.
  bool setEvacuation(const std::string &zone, bool evacuate);
  /// Sends a change with a basis that was read before, without waiting; the
  /// result appears in `out`.
  void sendEvacuation(const std::string &zone, bool evacuate,
                      const jobs::EvacuationBasis &basis,
                      std::shared_ptr<std::optional<core::Status>> out);
  jobs::EvacuationBasis evacuationBasis() const {
    return Core->evacuations().value().Basis;
  }
  /// Runs at endpoints of the zone.
  int64_t runningIn(const std::string &zone) const;

  const jobs::Ledger &ledger() const { return Ledger; }
  Dispatcher &dispatcher() { return *Core; }

  /// Settings of the dispatchers of later leaders.
  DispatcherOptions Options;
  /// Invariants that were violated, in words.
  std::vector<std::string> Violations;
  /// How many endpoints were registered or changed durably.
  int64_t Registrations = 0;
  /// Configurations made durable, whole or as a revision.
  int64_t RecordedConfigs = 0;
  /// VMs that are down for maintenance now, the most that were at once, and how
  /// often each VM was.
  int64_t Down = 0;
  int64_t MaxDown = 0;
  std::map<core::VmId, int64_t> MaintenanceCounts;
  int64_t Moves = 0;
  /// Orders for moves that were sent, carried out or not.
  int64_t OrderedMoves = 0;
  /// Runs that ended because the lease of their endpoint expired.
  int64_t Lapsed = 0;
  int64_t Accepted = 0;
  int64_t Refused = 0;
  /// Time from acceptance to completion of each job.
  std::map<std::string, int64_t> CompletionMs;
  /// How long a task runs; by default its estimate.
  std::function<int64_t(const jobs::StepSpec &)> RunMs;
  /// Whether a run fails.
  std::function<bool(const jobs::TaskRef &)> Fails;
  /// Whether the placement policy service lets a job run on an endpoint.
  std::function<bool(const jobs::EndpointId &, const jobs::JobId &)> MayRun;
  /// Requests to the placement policy service.
  int64_t AdviceRequests = 0;
  /// How long the service takes for a request, and for each endpoint in it; it
  /// handles one after the other.
  int64_t AdviceMs = 0;
  int64_t AdviceMsPerEndpoint = 0;
  /// How many of the next requests it rejects.
  int64_t RejectedAdvice = 0;
  /// Starts that were rejected for want of a valid ticket.
  int64_t BadTickets = 0;
  /// How long it takes to make events durable.
  int64_t CommitMs = 5;
  /// How late the dispatcher's event loop runs what is due.
  int64_t LoopDelayMs = 0;
  /// The VM service does not answer.
  bool VmServiceUnresponsive = false;
  /// It refuses orders for these VMs.
  std::set<core::VmId> RefusedVms;
  /// How long it takes to reach the VM service.
  int64_t VmConnectMs = 0;
  /// False while another member may lead.
  bool MayAct = true;
  /// Above 0, orders for VMs get no answer and are carried out this much later.
  int64_t VmOrderDelayMs = 0;
  /// The endpoints of VMs that were moved or maintained come back under their
  /// ids.
  bool KeepsIds = false;
  /// How long a long-running task takes to become ready.
  int64_t StartupMs = 0;
  /// How long orders to endpoints wait behind others before they are sent.
  int64_t OrderQueueMs = 0;
  /// The same for renewals.
  int64_t RenewalQueueMs = 0;
  /// How many starts and stops may wait like this, and the most that did.
  int64_t StartRoom = INT64_MAX;
  int64_t StopRoom = INT64_MAX;
  int64_t MostWaitingStarts = 0;
  int64_t MostWaitingStops = 0;
  /// How many renewals may wait for a run to end, and the most that did.
  size_t RenewalRoom = SIZE_MAX;
  size_t MostWaitingRenewals = 0;
  /// All renewals that were sent.
  int64_t RenewalCount = 0;
  /// How long a run goes on, and is listed, after its stop was acknowledged.
  int64_t StopMs = 0;
  /// How long a member of a gang waits for the others; the tasks of a gang run
  /// on their own if 0.
  int64_t GangTimeoutMs = 0;
  /// How often each counter was incremented, as "name value".
  std::map<std::string, int64_t> Counters;
  /// Receives the dispatcher's log lines; optional.
  std::function<void(const std::string &)> OnLogLine;
  /// Calls that a later incarnation than the one they were sent to carried out.
  int64_t CallsOfFormerIncarnations = 0;
  /// Calls that were carried out late, by any incarnation.
  int64_t LateCalls = 0;
  /// A run that the leader took for over while it went on.
  struct PrematureRelease {
    jobs::TaskRef Task;
    jobs::EndpointId Endpoint;
    int64_t At = 0;
    /// The run ended this much later; -1 if it still goes on.
    int64_t ShortMs = -1;
    /// The last log line that tells of lost or missing runs.
    std::string Reason;
  };
  std::vector<PrematureRelease> PrematureReleases;
  /// The shortest time after which a run that had ended this way was taken for
  /// over without an end report.
  std::map<RunEnd, int64_t> LeastMarginMs;
  /// Endpoints take this long to end their runs once a lease has expired. A run
  /// that succeeds meanwhile ends as done.
  int64_t LapseMs = 0;
  /// Endpoints don't list runs that they are ending.
  bool HidesEndingRuns = false;
  /// An endpoint that ends breaks no connection: renewals that wait there get
  /// no answer in time.
  bool EndsSilently = false;
  /// Calls to an endpoint that is down are carried out by its next incarnation
  /// as soon as it is there, also if they were given up.
  bool KeepsCallsWhileDown = false;
  /// Calls to an endpoint that is cut off are carried out this much after the
  /// end of the cut; lost if negative.
  int64_t CutCallDelayMs = -1;
  /// Passes over the times at which nothing is due, which makes long spans
  /// quick. What a test reads of the fleet between its steps stays the same.
  bool SkipsIdleTime = false;

private:
  DispatcherHooks hooks();
  void scheduleAt(int64_t time, std::function<void()> fn);
  /// When a task was started, and what is known of the order.
  struct StartRecord {
    int64_t At = 0;
    int64_t Sent = 0;
    bool Answered = false;
  };

  /// See CallFault::HeldMs.
  struct HeldCall {
    jobs::EndpointId Endpoint;
    int64_t Sent = 0;
    int64_t Due = 0;
    /// It has reached the VM, where the next incarnation finds it.
    bool HasArrived = false;
    /// The birth of the incarnation that has found it; none has if empty.
    std::optional<int64_t> FoundBy;
    std::function<void(TestEndpoint &)> Execute;
  };
  /// Lets endpoints find the calls that they hold, and carries out those due.
  void runHeldCalls();

  CallFault takeFault(const jobs::EndpointId &id, CallKind kind);
  /// Carries a call out when its fault says, and passes the reply on.
  void
  onAdvise(const AdviceRequest &request,
           const std::function<void(const core::Result<std::vector<Ticket>> &)>
               &done);
  template <class Reply>
  void deliver(const jobs::EndpointId &id, const CallFault &fault,
               int64_t timeout_ms,
               const std::function<Reply(TestEndpoint &)> &execute,
               const std::function<void(Reply)> &done);
  void onStart(const jobs::EndpointId &id, const StartOrder &order,
               const std::function<void(OrderReply)> &done);
  void onStop(const jobs::EndpointId &id, const StopOrder &order,
              const std::function<void(OrderReply)> &done);
  void onRenew(const jobs::EndpointId &id, const RenewRequest &request,
               const std::function<void(RenewReply)> &done);
  OrderReply execute(TestEndpoint &endpoint, const StopOrder &order);
  /// Returns false for a request that is fenced.
  bool execute(TestEndpoint &endpoint, const RenewRequest &request);
  bool hasValidTicket(const TestEndpoint &endpoint,
                      const StartOrder &order) const;
  OrderReply execute(TestEndpoint &endpoint, const StartOrder &order,
                     int64_t sent);
  /// Checks that the endpoint may be sent a start order now.
  void checkSentStart(const jobs::EndpointId &id, const StartOrder &order);
  void checkSentRenewal(const jobs::EndpointFacts &to,
                        const RenewRequest &request);
  void checkStart(const TestEndpoint &endpoint, const StartOrder &order,
                  const jobs::StepSpec &step, int64_t sent);
  int64_t countMissing(const jobs::TaskRef &task,
                       const jobs::EndpointId &without) const;
  void checkStop(const jobs::EndpointId &id, const jobs::TaskRef &task);
  void checkVmOrder(const VmOrder &order);
  void checkWaveLimit(const VmOrder &order);
  VmOrderResult execute(const VmOrder &order);
  void onOrderVm(const VmOrder &order, const std::function<bool()> &may_send,
                 const std::function<void(VmOrderResult)> &);
  void removeEndpoint(const jobs::EndpointId &id);
  void bringUp(const core::VmId &vm, const core::PoolId &pool,
               int64_t cold_ms = 0);
  void announce(const TestEndpoint &endpoint);
  void step();
  /// The next time after Now at which step() has anything to do.
  int64_t nextStep() const;
  void runGangs();
  /// How long a run takes there, with RemoteFactor where it is away from the
  /// rack of its data, and longer while the endpoint is cold.
  int64_t runMsAt(const TestEndpoint &endpoint,
                  const jobs::StepSpec &step) const;
  void answerRenewals(TestEndpoint &endpoint);
  void forgetEnds(TestEndpoint &endpoint, int64_t last_seen);
  void violate(const std::string &text);
  void recordDoneTasks(const jobs::Event &event);
  void recordAcknowledgedEnd(const jobs::TaskRef &task, int64_t ended_at);
  void sendHeartbeats();
  void checkLimits();
  void checkSums();
  /// Compares what the leader takes to be in progress with all runs there are.
  void checkReleases();
  void noteEnd(const jobs::TaskRef &task, const jobs::EndpointId &at,
               RunEnd how);

  DispatchPolicies Policies;
  jobs::Ledger Ledger;
  std::unique_ptr<Dispatcher> Core;
  static constexpr int64_t StartMs = 1000000;
  int64_t Now = StartMs;
  std::multimap<int64_t, std::function<void()>> Scheduled;
  /// Calls that the next incarnation of an endpoint carries out at its start.
  std::map<jobs::EndpointId, std::vector<std::function<void()>>> KeptCalls;
  std::map<jobs::EndpointId, TestEndpoint> Endpoints;
  std::map<core::VmId, VmListing> Vms;
  /// The last endpoint of each VM.
  std::map<core::VmId, jobs::EndpointFacts> LastFacts;
  std::map<core::VmId, std::string> Racks;
  std::map<core::VmId, std::string> Zones;
  std::map<core::VmId, std::set<int64_t>> MaintainedInWaves;
  /// The epoch and the time of the last order for each VM.
  std::map<core::VmId, std::pair<uint64_t, int64_t>> LastVmOrder;
  std::map<std::string, int64_t> AcceptedAt;
  /// The validity of each ticket granted, by its text.
  std::map<std::string, int64_t> TicketEnds;
  /// The last start of each task.
  std::map<jobs::TaskRef, StartRecord> LastStart;
  /// When the end of each task became durable.
  std::map<jobs::TaskRef, int64_t> DoneAt;
  /// When an end as done of each task was first acknowledged to its endpoint.
  std::map<jobs::TaskRef, int64_t> AcknowledgedDone;
  std::map<std::pair<jobs::EndpointId, CallKind>, std::deque<CallFault>> Faults;
  std::vector<HeldCall> HeldCalls;
  std::string LastRelease;
  /// The runs in PrematureReleases that still go on, by task and endpoint.
  std::map<std::pair<jobs::TaskRef, jobs::EndpointId>, size_t> OpenReleases;
  /// Runs whose end the leader doesn't know yet, when and how they ended.
  std::map<std::pair<jobs::TaskRef, jobs::EndpointId>,
           std::pair<int64_t, RunEnd>>
      UnknownEnds;
  int64_t LastDisturbedCall = 0;
  /// When the placement policy service is done with the requests so far.
  int64_t AdviceBusyUntil = 0;
  int64_t StartedEndpoints = 0;
  int64_t WaitingStarts = 0;
  int64_t WaitingStops = 0;
  int64_t Sequence = 0;
  uint64_t Generation = 0;
};

/// A call about a job, with the host and the key of the fleet's queues.
jobs::JobCall testCall(jobs::JobVerb verb, const std::string &id,
                       const std::string &queue = "q");

/// A step of `count` tasks that use `cores` cores each for `ms` milliseconds.
jobs::StepSpec testStep(int64_t count, int64_t cores, int64_t ms);

} // namespace almondgate::dispatch

#endif
