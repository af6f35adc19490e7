#include "test_fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <tuple>

namespace almondgate::dispatch {

using jobs::EndpointId;
using jobs::TaskRef;

namespace {

constexpr int64_t LatencyMs = 1;
constexpr int64_t HeartbeatMs = 1500;
constexpr int64_t TickMs = 50;
constexpr int64_t TimeoutMs = 500;
constexpr int64_t CoresOfVm = 64;
constexpr int64_t Thousand = 1000;
// A run takes this many times as long on a cold endpoint.
constexpr int64_t ColdFactor = 4;
constexpr int64_t MoveMs = 1500;
constexpr int64_t MaintenanceMs = 2000;
// Two leaders may not order for the same VM within this time.
constexpr int64_t VmOrderLeaseMs = 3000;

std::string ticketOf(const TestEndpoint &endpoint, const jobs::JobId &job) {
  return job.str() + " " + endpoint.Facts.Id.str() + " " +
         std::to_string(endpoint.Facts.BornMs);
}

std::string nameOf(const TaskRef &task) {
  return task.Job.str() + "." + std::to_string(task.Occurrence) + "." +
         std::to_string(task.Step) + "." + std::to_string(task.Index);
}

} // namespace

jobs::StepSpec testStep(int64_t count, int64_t cores, int64_t ms) {
  jobs::StepSpec step;
  step.Count = count;
  step.Need.MilliCpus = cores * Thousand;
  step.Need.MemoryMb = 1;
  step.EstimateMs = ms;
  return step;
}

jobs::JobCall testCall(jobs::JobVerb verb, const std::string &id,
                       const std::string &queue) {
  jobs::JobCall call;
  call.Verb = verb;
  call.Host = "h";
  call.Path = "/" + queue + "/" + id;
  call.Key = "key";
  return call;
}

void TestEndpoint::end(const TaskRef &task, RunEnd how, int64_t now) {
  const auto it = Runs.find(task);
  if (it == Runs.end())
    return;
  Ended.push_back({++EndCount, task, it->second.Run, how, ""});
  EndedAt[EndCount] = now;
  Closed[task] = std::max(Closed[task], it->second.Run);
  Runs.erase(it);
}

RunInventory TestEndpoint::inventory(int64_t now, int64_t last_seen) const {
  RunInventory out;
  out.ClockMs = clock(now);
  out.BornMs = Facts.BornMs;
  for (const auto &[task, run] : Runs)
    if (!HidesEndingRuns || (!run.StopsAt && !run.LapsesAt))
      out.Running.push_back(
          {task, run.Run, "", now >= run.ReadyAt ? 100 : 0, 0});
  for (const auto &end : Ended) {
    if (end.Number <= last_seen)
      continue;
    if (out.Ended.size() == MaxListedEnds) {
      out.MoreEnds = true;
      break;
    }
    out.Ended.push_back(end);
  }
  return out;
}

TestFleet::TestFleet(DispatchPolicies policies)
    : RunMs([](const jobs::StepSpec &step) { return step.EstimateMs; }),
      Fails([](const TaskRef &) { return false; }),
      MayRun([](const EndpointId &, const jobs::JobId &) { return true; }),
      Policies(std::move(policies)) {
  configure([](jobs::FleetConfig &config) {
    config.Pools = {{core::PoolId("p")}, {core::PoolId("spare"), false, true}};
    config.Teams = {{core::TeamId("t"), {"key"}, 1, {}}};
    jobs::QueueSpec queue;
    queue.Id = core::QueueId("q");
    queue.Host = "h";
    queue.PathPrefix = "/q/";
    queue.Pool = core::PoolId("p");
    queue.MaxAttempts = 2;
    queue.Stretch = 2;
    queue.TargetMs = 600;
    config.Queues = {queue};
  });
}

void TestFleet::configure(
    const std::function<void(jobs::FleetConfig &)> &edit) {
  jobs::FleetConfig config = Ledger.Config;
  ++config.Version;
  edit(config);
  jobs::apply(Ledger, jobs::ConfigReplaced{config});
}

void TestFleet::noteEnd(const TaskRef &task, const EndpointId &at, RunEnd how) {
  if (const auto it = OpenReleases.find({task, at}); it != OpenReleases.end()) {
    PrematureReleases[it->second].ShortMs =
        Now - PrematureReleases[it->second].At;
    OpenReleases.erase(it);
  }
  UnknownEnds[{task, at}] = {Now, how};
}

void TestFleet::checkReleases() {
  if (!MayAct)
    return;
  for (const auto &[id, endpoint] : Endpoints)
    for (const auto &[task, run] : endpoint.Runs) {
      const auto *job = jobs::findJob(Ledger, task.Job);
      if (!job || job->Spec->Steps[task.Step].AllowDuplicates ||
          OpenReleases.contains({task, id}) ||
          Core->mayBeInProgressAt(task, id))
        continue;
      OpenReleases[{task, id}] = PrematureReleases.size();
      PrematureReleases.push_back({task, id, Now, -1, LastRelease});
      if (std::getenv("ALMONDGATE_TEST_LOG"))
        std::cerr << sinceStart() << " PREMATURE " << nameOf(task) << " at "
                  << id.str() << "\n";
    }
  std::erase_if(UnknownEnds, [this](const auto &row) {
    const auto &[task, at] = row.first;
    const auto *job = jobs::findJob(Ledger, task.Job);
    if (!job || !job->isOpen() ||
        job->Tasks[*jobs::indexOf(*job->Spec, task)].Done)
      return true;
    if (Core->mayBeInProgressAt(task, at))
      return false;
    const auto endpoint = Endpoints.find(at);
    const bool reported = endpoint != Endpoints.end() &&
                          endpoint->second.isHeard() &&
                          endpoint->second.receives();
    const auto &[ended, how] = row.second;
    if (!reported) {
      const auto it = LeastMarginMs.try_emplace(how, Now - ended).first;
      it->second = std::min(it->second, Now - ended);
    }
    return true;
  });
}

void TestFleet::violate(const std::string &text) {
  Violations.push_back(text);
  if (std::getenv("ALMONDGATE_TEST_LOG"))
    std::cerr << sinceStart() << " VIOLATION " << text << "\n";
}

// Sums that follow each event must equal those computed anew, or decisions are
// made on wrong capacity or demand.
void TestFleet::checkSums() {
  for (const auto &difference : Core->checkSums())
    violate(difference);
}

void TestFleet::scheduleAt(int64_t time, std::function<void()> fn) {
  Scheduled.emplace(time, std::move(fn));
}

// --- VMs

core::VmId TestFleet::addVm(const std::string &pool, const std::string &rack,
                            const std::string &zone) {
  core::VmId vm("m" + std::to_string(Vms.size()));
  Racks[vm] = rack;
  Zones[vm] = zone;
  Vms[vm] = {vm, core::PoolId(pool), VmState::Up, core::RackId(rack),
             {}, core::ZoneId(zone)};
  const auto *spec = jobs::findPool(Ledger.Config, core::PoolId(pool));
  if (!spec || !spec->Spare)
    bringUp(vm, core::PoolId(pool));
  return vm;
}

void TestFleet::bringUp(const core::VmId &vm, const core::PoolId &pool,
                        int64_t cold_ms) {
  auto &listing = Vms.at(vm);
  listing.Pool = pool;
  listing.State = VmState::Up;
  const auto *spec = jobs::findPool(Ledger.Config, pool);
  if (spec && spec->Spare)
    return;
  TestEndpoint endpoint;
  auto &facts = endpoint.Facts;
  facts.Id = EndpointId("e" + std::to_string(++StartedEndpoints));
  facts.BornMs = Now;
  facts.Vm = vm;
  facts.Pool = pool;
  facts.At = {"10.0.0.1", uint16_t(1000 + StartedEndpoints)};
  facts.Rack = core::RackId(Racks[vm]);
  facts.Zone = core::ZoneId(Zones[vm]);
  facts.Labels = {"kind", Racks[vm]};
  facts.Capacity = {0, CoresOfVm * Thousand, 1 << 20, 0};
  endpoint.ClockOffset = -Now + 5000;
  if (const auto last = LastFacts.find(vm);
      KeepsIds && last != LastFacts.end()) {
    facts.Id = last->second.Id;
    facts.At = last->second.At;
    endpoint.ClockOffset = -Now;
  }
  LastFacts[vm] = facts;
  endpoint.ColdUntil = Now + cold_ms;
  listing.Endpoint = facts.Id;
  Endpoints[facts.Id] = endpoint;
  for (const auto &call : std::exchange(KeptCalls[facts.Id], {}))
    call();
  if (Core)
    announce(endpoint);
}

void TestFleet::announce(const TestEndpoint &endpoint) {
  Core->reportColdTime(endpoint.Facts,
                       std::max<int64_t>(endpoint.ColdUntil - Now, 0));
  Core->handleHeartbeat(endpoint.Facts, ++Sequence,
                        [](const core::Status &) {});
}

TestEndpoint &TestFleet::endpointOf(const core::VmId &vm) {
  return Endpoints.at(Vms.at(vm).Endpoint);
}

bool TestFleet::isUp(const core::VmId &vm) const {
  const auto &listing = Vms.at(vm);
  return listing.State == VmState::Up && Endpoints.contains(listing.Endpoint);
}

bool TestFleet::isRestarting(const core::VmId &vm) const {
  const auto &listing = Vms.at(vm);
  return listing.State == VmState::Up && !listing.Endpoint.empty() &&
         !Endpoints.contains(listing.Endpoint);
}

// The connections of the endpoint break, unless it ends silently.
void TestFleet::removeEndpoint(const EndpointId &id) {
  const auto it = Endpoints.find(id);
  if (it == Endpoints.end())
    return;
  for (const auto &renewal : it->second.Renewals)
    scheduleAt(EndsSilently ? renewal.Until + TimeoutMs : Now + LatencyMs,
               [done = renewal.Done] { done(RenewReply{}); });
  for (const auto &[task, run] : it->second.Runs)
    noteEnd(task, id, RunEnd::Failed);
  Endpoints.erase(it);
}

int64_t TestFleet::running() const {
  int64_t n = 0;
  for (const auto &[id, endpoint] : Endpoints)
    n += int64_t(endpoint.Runs.size());
  return n;
}

int64_t TestFleet::stopping() const {
  int64_t n = 0;
  for (const auto &[id, endpoint] : Endpoints)
    n += std::count_if(
        endpoint.Runs.begin(), endpoint.Runs.end(),
        [](const auto &row) { return row.second.StopsAt.has_value(); });
  return n;
}

void TestFleet::restart(const core::VmId &vm) {
  removeEndpoint(Vms.at(vm).Endpoint);
  bringUp(vm, Vms.at(vm).Pool);
}

void TestFleet::restartCold(const core::VmId &vm, int64_t cold_ms) {
  removeEndpoint(Vms.at(vm).Endpoint);
  bringUp(vm, Vms.at(vm).Pool, cold_ms);
}

void TestFleet::restartWithSameId(const core::VmId &vm) {
  TestEndpoint endpoint;
  endpoint.Facts = endpointOf(vm).Facts;
  endpoint.Facts.BornMs = Now;
  endpoint.ClockOffset = -Now;
  removeEndpoint(endpoint.Facts.Id);
  Endpoints[endpoint.Facts.Id] = endpoint;
}

void TestFleet::restartWithSameId(const core::VmId &vm, const Return &as) {
  TestEndpoint next;
  next.Facts = endpointOf(vm).Facts;
  next.MaxListedEnds = endpointOf(vm).MaxListedEnds;
  next.Unreachable = endpointOf(vm).Unreachable;
  next.CallsLost = endpointOf(vm).CallsLost;
  next.AnswersLost = endpointOf(vm).AnswersLost;
  removeEndpoint(next.Facts.Id);
  scheduleAt(Now + as.DownMs, [this, vm, as, next]() mutable {
    const auto &listing = Vms.at(vm);
    if (listing.State != VmState::Up || listing.Endpoint != next.Facts.Id ||
        Endpoints.contains(next.Facts.Id))
      return;
    next.Facts.BornMs = Now;
    next.ClockOffset = as.ClockMs - Now;
    next.ClockLagPerMille = as.ClockLagPerMille;
    next.FirstHeartbeat = Now + as.HeartbeatDelayMs;
    Endpoints[next.Facts.Id] = next;
    for (const auto &call : std::exchange(KeptCalls[next.Facts.Id], {}))
      call();
    scheduleAt(next.FirstHeartbeat, [this] {
      if (Core)
        sendHeartbeats();
    });
  });
}

void TestFleet::addFault(const core::VmId &vm, CallKind kind,
                         const CallFault &fault) {
  Faults[{Vms.at(vm).Endpoint, kind}].push_back(fault);
}

void TestFleet::clearFaults(const core::VmId &vm) {
  for (const auto kind : {CallKind::Start, CallKind::Stop, CallKind::Renew})
    Faults.erase({Vms.at(vm).Endpoint, kind});
}

CallFault TestFleet::takeFault(const EndpointId &id, CallKind kind) {
  const auto it = Faults.find({id, kind});
  if (it == Faults.end() || it->second.empty())
    return {};
  const CallFault out = it->second.front();
  it->second.pop_front();
  LastDisturbedCall = Now;
  return out;
}

void TestFleet::drain(const core::VmId &vm) {
  endpointOf(vm).Facts.Draining = true;
  announce(endpointOf(vm));
}

// --- time

void TestFleet::advance(int64_t ms) {
  const int64_t until = Now + ms;
  while (Now < until) {
    Now = SkipsIdleTime ? std::min(nextStep(), until) : Now + 1;
    step();
  }
}

int64_t TestFleet::nextStep() const {
  // Ticks and heartbeats are due at whole multiples of TickMs.
  int64_t next = (Now / TickMs + 1) * TickMs;
  const auto include = [&](int64_t time) {
    if (time > Now)
      next = std::min(next, time);
  };
  if (!Scheduled.empty())
    include(std::max(Scheduled.begin()->first, Now + 1));
  for (const auto &call : HeldCalls)
    include(call.Due);
  for (const auto &[id, endpoint] : Endpoints) {
    // A slow clock shows the deadline later; the time is met by steps of 1 ms.
    const int64_t left = endpoint.Deadline - endpoint.clock(Now);
    if (!endpoint.Runs.empty() && left > 0)
      include(Now + left);
    for (const auto &[task, run] : endpoint.Runs) {
      include(run.EndsAt);
      include(run.GangDue);
      if (run.StopsAt)
        include(*run.StopsAt);
      if (run.LapsesAt)
        include(*run.LapsesAt);
    }
    for (const auto &renewal : endpoint.Renewals)
      include(renewal.Until);
  }
  return next;
}

void TestFleet::step() {
  while (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
    const auto fn = Scheduled.begin()->second;
    Scheduled.erase(Scheduled.begin());
    fn();
  }
  runHeldCalls();
  runGangs();
  for (auto &[id, endpoint] : Endpoints) {
    if (endpoint.clock(Now) >= endpoint.Deadline)
      endpoint.LapsedAt = Now;
    endpoint.HidesEndingRuns = HidesEndingRuns;
    std::vector<std::pair<TaskRef, RunEnd>> ends;
    for (auto &[task, run] : endpoint.Runs) {
      if (endpoint.clock(Now) >= endpoint.Deadline && !run.LapsesAt)
        run.LapsesAt = Now + LapseMs;
      if (run.LapsesAt && Now >= *run.LapsesAt)
        ends.emplace_back(task, RunEnd::LeaseExpired);
      else if (run.StopsAt && Now >= *run.StopsAt)
        ends.emplace_back(task, RunEnd::Stopped);
      else if (Now >= run.EndsAt)
        ends.emplace_back(task, run.Fails ? RunEnd::Failed : RunEnd::Done);
    }
    for (const auto &[task, how] : ends) {
      endpoint.end(task, how, Now);
      noteEnd(task, id, how);
      Lapsed += how == RunEnd::LeaseExpired ? 1 : 0;
    }
    answerRenewals(endpoint);
  }
  if (!Core)
    return;
  checkSums();
  if (Now % TickMs == 0)
    Core->tick();
  if (Now % HeartbeatMs == 0)
    sendHeartbeats();
  checkReleases();
  for (const auto &[id, accepted] : AcceptedAt) {
    const auto *job = jobs::findJob(Ledger, jobs::JobId(id));
    if (job && job->Remaining == 0)
      CompletionMs.try_emplace(id, Now - accepted);
  }
}

// A gang works from the moment when all members of one run are present, and
// ends for all of them at once, as late as its slowest member. It takes longer
// if it prefers one rack and is on several.
void TestFleet::runGangs() {
  using Gang = std::tuple<jobs::JobId, int64_t, int64_t, int64_t>;
  std::map<Gang, std::vector<std::pair<TestEndpoint *, TaskRef>>> gangs;
  for (auto &[id, endpoint] : Endpoints)
    for (const auto &[task, run] : endpoint.Runs)
      if (run.GangMs > 0)
        gangs[{task.Job, task.Occurrence, task.Step, run.Run}].emplace_back(
            &endpoint, task);
  for (const auto &[gang, members] : gangs) {
    const auto run_of = [](const auto &row) -> TestRun & {
      return row.first->Runs.at(row.second);
    };
    const auto *job = jobs::findJob(Ledger, std::get<0>(gang));
    const auto &step = job->Spec->Steps[size_t(std::get<2>(gang))];
    const bool complete = int64_t(members.size()) == step.Count;
    const bool works = run_of(members.front()).GangDue == 0;
    bool spread = false;
    int64_t gang_ms = 0;
    for (const auto &row : members) {
      gang_ms = std::max(gang_ms, run_of(row).GangMs);
      spread = spread ||
               (step.SameRack &&
                row.first->Facts.Rack != members.front().first->Facts.Rack);
    }
    if (spread)
      gang_ms = int64_t(double(gang_ms) * Options.RemoteFactor);
    for (const auto &row : members) {
      TestRun &run = run_of(row);
      if (works && !complete)
        row.first->end(row.second, RunEnd::GangBroken, Now);
      else if (!works && complete) {
        run.GangDue = 0;
        run.EndsAt = Now + gang_ms;
      } else if (!works && Now >= run.GangDue)
        row.first->end(row.second, RunEnd::GangIncomplete, Now);
    }
  }
}

void TestFleet::answerRenewals(TestEndpoint &endpoint) {
  std::vector<TestEndpoint::PendingRenewal> later;
  for (auto &renewal : std::exchange(endpoint.Renewals, {})) {
    if (!endpoint.isHeard()) {
      scheduleAt(Now + TimeoutMs,
                 [done = renewal.Done] { done(RenewReply{}); });
      continue;
    }
    const auto found = endpoint.inventory(Now, renewal.Request.LastSeen);
    if (found.Ended.empty() && Now < renewal.Until) {
      later.push_back(renewal);
      continue;
    }
    const RenewReply reply{OrderResult::Accepted, found};
    endpoint.HasAnswered = true;
    scheduleAt(Now + LatencyMs, [done = renewal.Done, reply] { done(reply); });
  }
  endpoint.Renewals = std::move(later);
}

void TestFleet::sendHeartbeats() {
  for (const auto &[id, endpoint] : Endpoints)
    if (endpoint.isHeard() && Now >= endpoint.FirstHeartbeat)
      announce(endpoint);
}

// --- leadership

void TestFleet::lead() {
  stopLeading();
  jobs::apply(Ledger, jobs::EpochBegun{"test"});
  ++Generation;
  Core = std::make_unique<Dispatcher>(Options, hooks(), Ledger);
  Core->startLeading(Ledger.Epoch);
  sendHeartbeats();
}

void TestFleet::stopLeading() {
  if (Core)
    Core->stopLeading();
  Core.reset();
  ++Generation;
}

DispatcherHooks TestFleet::hooks() {
  DispatcherHooks hooks;
  hooks.Policies = Policies;
  hooks.Now = [this] { return core::TimeMs{Now}; };
  hooks.WallClock = [this] { return Now; };
  hooks.MayAct = [this] { return MayAct; };
  // Calls to a dispatcher that has ended are dropped.
  const auto guard = [this, generation = Generation](std::function<void()> fn) {
    return [this, generation, fn = std::move(fn)] {
      if (generation == Generation)
        fn();
    };
  };
  hooks.Defer = [this, guard](core::DurationMs delay, auto fn) {
    scheduleAt(Now + delay.Count + LoopDelayMs, guard(std::move(fn)));
  };
  hooks.Record = [this, guard](std::vector<jobs::Event> events, auto done) {
    scheduleAt(Now + CommitMs, guard([this, events = std::move(events), done] {
                 // Like the replicated state: applies all events of a change
                 // before it reports them.
                 for (const auto &event : events) {
                   jobs::apply(Ledger, event);
                   recordDoneTasks(event);
                   Registrations +=
                       std::holds_alternative<jobs::EndpointRegistered>(event);
                   RecordedConfigs +=
                       std::holds_alternative<jobs::ConfigRevised>(event) ||
                       std::holds_alternative<jobs::ConfigReplaced>(event);
                 }
                 for (const auto &event : events)
                   Core->onEventApplied(event);
                 done(true);
               }));
  };
  // Sends an order after its wait, unless it is no longer permitted.
  const auto enqueue = [this, guard](int64_t queue_ms, auto may_send,
                                     auto refuse, auto send) {
    if (queue_ms == 0) {
      send();
      return;
    }
    // The queue ends with its leader.
    scheduleAt(Now + queue_ms, guard([may_send, refuse, send] {
                 if (may_send())
                   send();
                 else
                   refuse();
               }));
  };
  const auto not_sent = [](auto done) {
    return [done] { done(OrderReply{OrderResult::NotSent, {}}); };
  };
  const auto count_waiting = [this](int64_t &waiting, int64_t &most) {
    most = std::max(most, ++waiting);
    scheduleAt(Now + OrderQueueMs, [&waiting] { --waiting; });
  };
  hooks.HasRoomForStarts = [this](size_t n) {
    return WaitingStarts + int64_t(n) <= StartRoom;
  };
  hooks.HasRoomForStop = [this] { return WaitingStops < StopRoom; };
  hooks.Start = [this, guard, enqueue, not_sent,
                 count_waiting](const auto &to, const auto &order,
                                auto may_send, auto done) {
    count_waiting(WaitingStarts, MostWaitingStarts);
    enqueue(OrderQueueMs, may_send, not_sent(done),
            [this, guard, done, id = to.Id, order] {
              checkSentStart(id, order);
              onStart(id, order, [guard, done](const OrderReply &reply) {
                guard([done, reply] { done(reply); })();
              });
            });
  };
  hooks.Stop = [this, guard, enqueue, not_sent,
                count_waiting](const auto &to, const auto &order, auto may_send,
                               auto done) {
    count_waiting(WaitingStops, MostWaitingStops);
    enqueue(OrderQueueMs, may_send, not_sent(done),
            [this, guard, done, id = to.Id, order] {
              onStop(id, order, [guard, done](const OrderReply &reply) {
                guard([done, reply] { done(reply); })();
              });
            });
  };
  hooks.RoomForWaitingRenewals = [this] { return RenewalRoom; };
  hooks.Renew = [this, guard, enqueue](const auto &to, const auto &request,
                                       auto may_send, auto done) {
    enqueue(
        RenewalQueueMs, may_send,
        [done] {
          done(RenewReply{OrderResult::NotSent, {}});
        },
        [this, guard, to, request, done] {
          ++RenewalCount;
          checkSentRenewal(to, request);
          onRenew(to.Id, request, [guard, done](const RenewReply &reply) {
            guard([done, reply] { done(reply); })();
          });
        });
  };
  hooks.Advise = [this, guard](const auto &request, auto done) {
    onAdvise(request, [guard, done](const auto &answer) {
      guard([done, answer] { done(answer); })();
    });
  };
  hooks.ListVms = [this, guard](auto done) {
    std::vector<VmListing> list;
    for (const auto &[id, vm] : Vms)
      list.push_back(vm);
    scheduleAt(Now + LatencyMs, guard([done, list] {
                 done(core::Result<std::vector<VmListing>>(list));
               }));
  };
  hooks.OrderVm = [this, guard](const auto &order, auto may_send, auto done) {
    onOrderVm(order, may_send, [guard, done](VmOrderResult result) {
      guard([done, result] { done(result); })();
    });
  };
  hooks.IncrementCounter = [this](const char *name, const char *,
                                  const char *value) {
    ++Counters[std::string(name) + " " + value];
  };
  hooks.Log = [this, print = std::getenv("ALMONDGATE_TEST_LOG") !=
                             nullptr](const std::string &line) {
    if (print)
      std::cerr << Now - StartMs << " " << line << "\n";
    if (line.find(" lost") != std::string::npos ||
        line.find("not in the inventory") != std::string::npos ||
        line.find("have expired") != std::string::npos ||
        line.find("is over after") != std::string::npos)
      LastRelease = std::to_string(Now - StartMs) + " " + line;
    if (OnLogLine)
      OnLogLine(line);
  };
  return hooks;
}

// A request that takes longer than the time-out is handled all the same, and
// makes those behind it wait.
void TestFleet::onAdvise(
    const AdviceRequest &request,
    const std::function<void(const core::Result<std::vector<Ticket>> &)>
        &done) {
  using Tickets = core::Result<std::vector<Ticket>>;
  constexpr int64_t AdviceTimeoutMs = 2000;
  constexpr size_t MostEndpoints = 100;
  ++AdviceRequests;
  if (request.Endpoints.size() > MostEndpoints)
    violate("advice on " + std::to_string(request.Endpoints.size()) +
            " endpoints");
  if (RejectedAdvice > 0) {
    --RejectedAdvice;
    scheduleAt(Now + LatencyMs, [done] {
      done(Tickets(core::Error{core::ErrorCode::Overloaded, "rejected"}));
    });
    return;
  }
  AdviceBusyUntil = std::max(AdviceBusyUntil, Now) + AdviceMs +
                    AdviceMsPerEndpoint * int64_t(request.Endpoints.size());
  const int64_t answer_at = AdviceBusyUntil + LatencyMs;
  if (answer_at - Now > AdviceTimeoutMs) {
    scheduleAt(Now + AdviceTimeoutMs, [done] {
      done(Tickets(core::Error{core::ErrorCode::Unavailable, "timed out"}));
    });
    return;
  }
  scheduleAt(AdviceBusyUntil, [this, request, done] {
    std::vector<Ticket> tickets;
    const auto *job = jobs::findJob(Ledger, request.Job);
    for (const auto &id : request.Endpoints) {
      const auto it = Endpoints.find(id);
      if (it == Endpoints.end() || !MayRun(id, request.Job))
        continue;
      const std::string text = ticketOf(it->second, request.Job);
      TicketEnds[text] = Now + job->Terms.TicketLifeMs;
      tickets.push_back({id, text});
    }
    scheduleAt(Now + LatencyMs, [done, tickets] { done(Tickets(tickets)); });
  });
}

// The durable end of one member of a gang ends all of them.
void TestFleet::recordDoneTasks(const jobs::Event &event) {
  const auto *ended = std::get_if<jobs::TaskEnded>(&event);
  const auto *job = ended ? jobs::findJob(Ledger, ended->Job) : nullptr;
  for (size_t i = 0; job && i < job->Tasks.size(); ++i)
    if (job->Tasks[i].Done)
      DoneAt.try_emplace(jobs::taskAt(job->Id, *job->Spec, i), Now);
}

// The end of one member of a gang stands for all of them.
void TestFleet::recordAcknowledgedEnd(const TaskRef &task, int64_t ended_at) {
  const auto *job = jobs::findJob(Ledger, task.Job);
  const auto &step = job->Spec->Steps[task.Step];
  std::vector<TaskRef> tasks = {task};
  if (step.Gang && GangTimeoutMs > 0) {
    tasks.clear();
    for (int64_t i = 0; i < step.Count; ++i)
      tasks.push_back({task.Job, task.Occurrence, task.Step, i});
  }
  for (const auto &ended : tasks) {
    AcknowledgedDone.try_emplace(ended, Now);
    const auto started = LastStart.find(ended);
    if (started == LastStart.end() || started->second.At <= ended_at)
      continue;
    const StartRecord &start = started->second;
    const bool late =
        start.Sent < start.At && start.Sent <= ended_at && !start.Answered;
    violate((late ? "late start after a run has ended done: "
                  : "start after a run has ended done: ") +
            nameOf(ended));
  }
}

// An end that is acknowledged counts for good, unless the lease expired after
// it: no later start of its task is allowed.
void TestFleet::forgetEnds(TestEndpoint &endpoint, int64_t last_seen) {
  for (const auto &end : endpoint.Ended) {
    const int64_t ended_at = endpoint.EndedAt.at(end.Number);
    const auto *job = jobs::findJob(Ledger, end.Task.Job);
    const bool counts = end.Number <= last_seen && end.How == RunEnd::Done &&
                        endpoint.LapsedAt < ended_at && job &&
                        !job->Spec->Steps[end.Task.Step].LongRunning;
    if (counts)
      recordAcknowledgedEnd(end.Task, ended_at);
  }
  std::erase_if(endpoint.Ended,
                [&](const EndReport &end) { return end.Number <= last_seen; });
}

// --- orders

template <class Reply>
void TestFleet::deliver(const EndpointId &id, const CallFault &fault,
                        int64_t timeout_ms,
                        const std::function<Reply(TestEndpoint &)> &execute,
                        const std::function<void(Reply)> &done) {
  const auto it = Endpoints.find(id);
  const auto fail = [&](int64_t after_ms) {
    scheduleAt(Now + after_ms, [done] { done(Reply{}); });
  };
  const int64_t fails_after =
      fault.FailsAfterMs > 0 ? fault.FailsAfterMs : timeout_ms;
  const int64_t born = it == Endpoints.end() ? 0 : it->second.Facts.BornMs;
  const auto carry_out = [this, id, born, execute] {
    const auto late = Endpoints.find(id);
    if (std::getenv("ALMONDGATE_TEST_LOG"))
      std::cerr << sinceStart() << " a call of " << born - StartMs
                << " is carried out late at " << id.str() << " incarnation "
                << late->second.Facts.BornMs - StartMs << ", token "
                << late->second.Epoch << "\n";
    CallsOfFormerIncarnations += late->second.Facts.BornMs != born ? 1 : 0;
    ++LateCalls;
    execute(late->second);
  };
  const auto execute_at = [&](int64_t after_ms, bool by_any) {
    scheduleAt(Now + after_ms, [this, id, born, carry_out, by_any] {
      const auto late = Endpoints.find(id);
      if (late != Endpoints.end() &&
          (by_any ? late->second.receives()
                  : late->second.Facts.BornMs == born))
        carry_out();
    });
  };
  if (fault.HeldMs > 0) {
    HeldCalls.push_back({id, Now, Now + fault.HeldMs,
                         it == Endpoints.end() || it->second.receives(),
                         std::nullopt,
                         [execute](TestEndpoint &by) { execute(by); }});
    runHeldCalls();
    fail(fails_after);
    return;
  }
  if (fault.KeptMs > 0) {
    scheduleAt(Now + fault.KeptMs, [this, id, carry_out] {
      if (Endpoints.contains(id))
        carry_out();
      else
        KeptCalls[id].push_back(carry_out);
    });
    fail(fails_after);
    return;
  }
  if (fault.InTransitMs > 0) {
    if (fault.InTransitMs < fails_after)
      execute_at(fault.InTransitMs, true);
    fail(fails_after);
    return;
  }
  if (it == Endpoints.end() || !it->second.receives()) {
    if (it == Endpoints.end() && KeepsCallsWhileDown)
      KeptCalls[id].push_back(carry_out);
    else if (it != Endpoints.end() && CutCallDelayMs >= 0)
      HeldCalls.push_back({id, Now, Now + CutCallDelayMs, false, std::nullopt,
                           [execute](TestEndpoint &by) { execute(by); }});
    fail(timeout_ms);
    return;
  }
  if (fault.LateMs > 0) {
    execute_at(fault.LateMs, false);
    fail(fails_after);
    return;
  }
  const Reply reply = execute(it->second);
  if (fault.LosesAnswer || fault.AnswerDelayMs >= TimeoutMs ||
      !it->second.isHeard()) {
    fail(fails_after);
    return;
  }
  it->second.HasAnswered = true;
  scheduleAt(Now + LatencyMs + fault.AnswerDelayMs,
             [done, reply] { done(reply); });
}

void TestFleet::runHeldCalls() {
  // No call is carried out later than this.
  constexpr int64_t LongestHoldMs = 12000;
  std::erase_if(HeldCalls, [this](HeldCall &call) {
    const auto it = Endpoints.find(call.Endpoint);
    const bool is_there = it != Endpoints.end();
    if (!call.FoundBy && is_there && (call.HasArrived || it->second.receives()))
      call.FoundBy = it->second.Facts.BornMs;
    if (!call.FoundBy)
      return Now - call.Sent > LongestHoldMs;
    if (!is_there || it->second.Facts.BornMs != *call.FoundBy)
      return true;
    if (Now < call.Due)
      return false;
    if (std::getenv("ALMONDGATE_TEST_LOG"))
      std::cerr << sinceStart() << " a held call is carried out at "
                << call.Endpoint.str() << " incarnation "
                << it->second.Facts.BornMs - StartMs << ", token "
                << it->second.Epoch << "\n";
    CallsOfFormerIncarnations += *call.FoundBy > call.Sent ? 1 : 0;
    call.Execute(it->second);
    return true;
  });
}

void TestFleet::onStart(const EndpointId &id, const StartOrder &order,
                        const std::function<void(OrderReply)> &done) {
  CallFault fault = takeFault(id, CallKind::Start);
  const auto it = Endpoints.find(id);
  if (it != Endpoints.end() && it->second.receives()) {
    if (it->second.DelayedStarts > 0) {
      --it->second.DelayedStarts;
      fault.LateMs = it->second.StartDelayMs;
    } else if (it->second.LostReplies > 0) {
      --it->second.LostReplies;
      fault.LosesAnswer = true;
    }
  }
  deliver<OrderReply>(
      id, fault, TimeoutMs,
      [this, order, sent = Now](TestEndpoint &endpoint) {
        return execute(endpoint, order, sent);
      },
      done);
}

void TestFleet::onStop(const EndpointId &id, const StopOrder &order,
                       const std::function<void(OrderReply)> &done) {
  checkStop(id, order.Task);
  deliver<OrderReply>(
      id, takeFault(id, CallKind::Stop), TimeoutMs,
      [this, order](TestEndpoint &endpoint) {
        return execute(endpoint, order);
      },
      done);
}

// Stricter than the requirement, which allows starts for a while: the leader
// knows each change as soon as it is durable.
void TestFleet::checkSentStart(const EndpointId &id, const StartOrder &order) {
  const auto it = Endpoints.find(id);
  if (it != Endpoints.end() &&
      Ledger.Evacuations.contains(it->second.Facts.Zone))
    violate("start sent into the evacuated zone " +
            it->second.Facts.Zone.str() + ": " + nameOf(order.Task));
}

void TestFleet::checkSentRenewal(const jobs::EndpointFacts &to,
                                 const RenewRequest &request) {
  const auto known = Core->endpoints().find(to.Id);
  if (request.DeadlineMs > 0 && known != Core->endpoints().end() &&
      known->second.Facts.BornMs != to.BornMs)
    violate("lease renewal sent for a replaced incarnation of " + to.Id.str());
}

OrderReply TestFleet::execute(TestEndpoint &endpoint, const StopOrder &order) {
  const int64_t clock = endpoint.clock(Now);
  if (order.Epoch < endpoint.Epoch)
    return {OrderResult::Fenced, clock};
  endpoint.Epoch = order.Epoch;
  const auto run = endpoint.Runs.find(order.Task);
  if (run != endpoint.Runs.end() && run->second.Run <= order.Run) {
    if (StopMs == 0)
      endpoint.end(order.Task, RunEnd::Stopped, Now);
    else if (!run->second.StopsAt)
      run->second.StopsAt = Now + StopMs;
  }
  endpoint.Closed[order.Task] =
      std::max(endpoint.Closed[order.Task], order.Run);
  return {OrderResult::Accepted, clock};
}

bool TestFleet::execute(TestEndpoint &endpoint, const RenewRequest &request) {
  if (request.Epoch < endpoint.Epoch)
    return false;
  endpoint.Epoch = request.Epoch;
  endpoint.extendLease(request.DeadlineMs, Now);
  forgetEnds(endpoint, request.LastSeen);
  return true;
}

void TestFleet::onRenew(const EndpointId &id, const RenewRequest &request,
                        const std::function<void(RenewReply)> &done) {
  const CallFault fault = takeFault(id, CallKind::Renew);
  const auto it = Endpoints.find(id);
  const bool arrives = it != Endpoints.end() && it->second.receives();
  const bool answered = arrives && fault.LateMs == 0 &&
                        fault.InTransitMs == 0 && fault.HeldMs == 0 &&
                        fault.KeptMs == 0 && !fault.LosesAnswer &&
                        fault.AnswerDelayMs < TimeoutMs;
  if (!answered || request.Epoch < it->second.Epoch) {
    deliver<RenewReply>(
        id, fault, request.WaitMs + TimeoutMs,
        [this, request](TestEndpoint &endpoint) {
          return RenewReply{execute(endpoint, request) ? OrderResult::Accepted
                                                       : OrderResult::Fenced,
                            {}};
        },
        done);
    return;
  }
  execute(it->second, request);
  // The answer waits for a run to end, and is then on its way for a while.
  const auto answer = [this, delay = fault.AnswerDelayMs,
                       done](const RenewReply &reply) {
    if (delay == 0)
      done(reply);
    else
      scheduleAt(Now + delay, [done, reply] { done(reply); });
  };
  it->second.Renewals.push_back({request, Now + request.WaitMs, answer});
  answerRenewals(it->second);
  size_t waiting = 0;
  for (const auto &[other, endpoint] : Endpoints)
    waiting += size_t(std::count_if(
        endpoint.Renewals.begin(), endpoint.Renewals.end(),
        [](const auto &renewal) { return renewal.Request.WaitMs > 0; }));
  MostWaitingRenewals = std::max(MostWaitingRenewals, waiting);
}

bool TestFleet::hasValidTicket(const TestEndpoint &endpoint,
                               const StartOrder &order) const {
  const auto *job = jobs::findJob(Ledger, order.Task.Job);
  if (!job->Terms.NeedsTicket)
    return true;
  const auto it = TicketEnds.find(order.Ticket);
  return order.Ticket == ticketOf(endpoint, order.Task.Job) &&
         it != TicketEnds.end() && Now <= it->second;
}

OrderReply TestFleet::execute(TestEndpoint &endpoint, const StartOrder &order,
                              int64_t sent) {
  const int64_t clock = endpoint.clock(Now);
  if (endpoint.RejectsStarts)
    return {OrderResult::Unavailable, {}};
  if (order.Epoch < endpoint.Epoch)
    return {OrderResult::Fenced, clock};
  endpoint.Epoch = order.Epoch;
  // One deadline applies to all runs of the endpoint.
  endpoint.extendLease(order.DeadlineMs, Now);
  if (endpoint.Deadline <= clock)
    return {OrderResult::Late, clock};
  const auto run = endpoint.Runs.find(order.Task);
  if (run != endpoint.Runs.end() && run->second.Run == order.Run)
    return {OrderResult::Accepted, clock};
  if (order.Run <= endpoint.Closed[order.Task])
    return {OrderResult::Outdated, clock};
  if (!hasValidTicket(endpoint, order)) {
    ++BadTickets;
    return {OrderResult::BadTicket, clock};
  }
  const auto *job = jobs::findJob(Ledger, order.Task.Job);
  const auto &step = job->Spec->Steps[order.Task.Step];
  checkStart(endpoint, order, step, sent);
  const int64_t duration =
      step.LongRunning ? int64_t{1} << 40 : runMsAt(endpoint, step);
  endpoint.Runs[order.Task] = {
      order.Run, Now + duration,    Now + (step.LongRunning ? StartupMs : 0),
      step.Need, Fails(order.Task), std::nullopt};
  if (step.Gang && GangTimeoutMs > 0) {
    TestRun &member = endpoint.Runs[order.Task];
    member.GangMs = duration;
    member.GangDue = Now + GangTimeoutMs;
    member.EndsAt = INT64_MAX;
  }
  ++endpoint.Starts;
  LastStart[order.Task] = {Now, sent, endpoint.HasAnswered};
  return {OrderResult::Accepted, clock};
}

int64_t TestFleet::runMsAt(const TestEndpoint &endpoint,
                           const jobs::StepSpec &step) const {
  const auto &labels = endpoint.Facts.Labels;
  const bool remote =
      !step.Affinity.empty() && std::find(labels.begin(), labels.end(),
                                          step.Affinity.str()) == labels.end();
  const int64_t near_ms = std::max<int64_t>(RunMs(step), 1);
  const int64_t warm_ms =
      remote ? int64_t(double(near_ms) * Options.RemoteFactor) : near_ms;
  const int64_t cold_ms = std::max<int64_t>(endpoint.ColdUntil - Now, 0);
  return warm_ms + std::min(cold_ms * (ColdFactor - 1) / ColdFactor,
                            warm_ms * (ColdFactor - 1));
}

void TestFleet::checkStart(const TestEndpoint &endpoint,
                           const StartOrder &order, const jobs::StepSpec &step,
                           int64_t sent) {
  core::Size used = step.Need;
  for (const auto &[task, run] : endpoint.Runs)
    used = used + run.Need;
  if (!core::fits(used, endpoint.Facts.Capacity))
    violate("start exceeds the capacity: " + nameOf(order.Task));
  for (const auto &[id, other] : Endpoints)
    if (other.Runs.contains(order.Task))
      violate("task runs twice at a time: " + nameOf(order.Task));
  const auto *job = jobs::findJob(Ledger, order.Task.Job);
  const bool done = job->Tasks[*jobs::indexOf(*job->Spec, order.Task)].Done;
  const auto ended = AcknowledgedDone.find(order.Task);
  const bool acknowledged = ended != AcknowledgedDone.end();
  // Nothing keeps an incarnation that no leader has reached from carrying out
  // an order that left before the end was known.
  const bool late = sent < Now && !endpoint.HasAnswered;
  if (late && acknowledged && sent <= ended->second) {
    violate("a late start after an acknowledged end: " + nameOf(order.Task));
  } else if (late && done && !acknowledged && sent <= DoneAt.at(order.Task)) {
    violate("a late start after an end that is not acknowledged: " +
            nameOf(order.Task));
  } else {
    if (done)
      violate("start after the task is done: " + nameOf(order.Task));
    if (acknowledged)
      violate("start after an acknowledged end: " + nameOf(order.Task));
  }
  if (!jobs::isStepReady(*job, order.Task.Occurrence, order.Task.Step))
    violate("start before the step is ready: " + nameOf(order.Task));
  // An order that was sent before its job ended can't be recalled.
  const bool job_ended = job->Cancelled || job->Failed;
  if (job_ended && sent > job->EndedWallMs)
    violate("start after the job has ended: " + nameOf(order.Task));
  if (endpoint.Facts.Draining)
    violate("start on a draining endpoint: " + nameOf(order.Task));
}

int64_t TestFleet::countMissing(const TaskRef &task,
                                const EndpointId &without) const {
  const auto *job = jobs::findJob(Ledger, task.Job);
  int64_t missing = 0;
  for (int64_t i = 0; i < job->Spec->Steps[task.Step].Count; ++i) {
    const TaskRef other{task.Job, task.Occurrence, task.Step, i};
    const bool ready =
        std::any_of(Endpoints.begin(), Endpoints.end(), [&](const auto &row) {
          const auto run = row.second.Runs.find(other);
          return row.first != without && run != row.second.Runs.end() &&
                 run->second.isAtWork(Now);
        });
    missing += ready || other == task ? 0 : 1;
  }
  return missing;
}

void TestFleet::checkStop(const EndpointId &id, const TaskRef &task) {
  const auto it = Endpoints.find(id);
  const auto *job = jobs::findJob(Ledger, task.Job);
  if (it == Endpoints.end() || !it->second.Runs.contains(task) || !job ||
      !it->second.Runs.at(task).isAtWork(Now))
    return;
  const auto &step = job->Spec->Steps[task.Step];
  if (step.HasMayMiss && !job->Cancelled &&
      countMissing(task, EndpointId()) >= step.MayMiss)
    violate("availability budget exceeded by a stop: " + nameOf(task));
}

void TestFleet::checkVmOrder(const VmOrder &order) {
  const auto it = LastVmOrder.find(order.Vm);
  if (it != LastVmOrder.end()) {
    const auto &[epoch, when] = it->second;
    if (epoch != order.Epoch && Now - when < VmOrderLeaseMs)
      violate("two leaders order within the lease for vm " + order.Vm.str());
    if (epoch > order.Epoch)
      violate("an earlier leader orders again for vm " + order.Vm.str());
  }
  LastVmOrder[order.Vm] = {order.Epoch, Now};
  const auto *to = jobs::findPool(Ledger.Config, order.To);
  if (to && !to->Spare && Ledger.Evacuations.contains(Vms.at(order.Vm).Zone))
    violate("vm of an evacuated zone moved into a pool: " + order.Vm.str());
  OrderedMoves += order.To.empty() ? 0 : 1;
}

void TestFleet::onOrderVm(const VmOrder &order,
                          const std::function<bool()> &may_send,
                          const std::function<void(VmOrderResult)> &done) {
  if (VmConnectMs > 0) {
    scheduleAt(Now + VmConnectMs, [this, order, may_send, done] {
      if (!may_send()) {
        done(VmOrderResult::NoAnswer);
        return;
      }
      checkVmOrder(order);
      done(execute(order));
    });
    return;
  }
  checkVmOrder(order);
  if (VmServiceUnresponsive) {
    scheduleAt(Now + TimeoutMs, [done] { done(VmOrderResult::NoAnswer); });
    return;
  }
  if (VmOrderDelayMs > 0) {
    scheduleAt(Now + VmOrderDelayMs, [this, order] { execute(order); });
    scheduleAt(Now + TimeoutMs, [done] { done(VmOrderResult::NoAnswer); });
    return;
  }
  scheduleAt(Now + LatencyMs,
             [done, result = execute(order)] { done(result); });
}

void TestFleet::checkWaveLimit(const VmOrder &order) {
  const auto &wave = Ledger.Waves.at(order.Wave);
  const int64_t down =
      std::count_if(wave.Vms.begin(), wave.Vms.end(), [&](const auto &vm) {
        return Vms.at(vm).State == VmState::Maintenance;
      });
  if (down >= wave.UpperLimit)
    violate("maintenance above the limit of wave " +
            std::to_string(order.Wave) + ": " + order.Vm.str());
}

VmOrderResult TestFleet::execute(const VmOrder &order) {
  auto &vm = Vms.at(order.Vm);
  const bool maintenance = order.To.empty();
  if (maintenance && MaintainedInWaves[order.Vm].contains(order.Wave))
    return VmOrderResult::Accepted;
  if (!maintenance && vm.Pool == order.To)
    return VmOrderResult::Accepted;
  if (RefusedVms.contains(order.Vm))
    return VmOrderResult::Refused;
  if (vm.State != VmState::Up)
    return VmOrderResult::Busy;
  if (const auto at = Endpoints.find(vm.Endpoint); at != Endpoints.end())
    for (const auto &[task, run] : at->second.Runs) {
      if (!run.isAtWork(Now))
        continue;
      const auto *job = jobs::findJob(Ledger, task.Job);
      const auto &step = job->Spec->Steps[task.Step];
      if (step.HasMayMiss && !job->Cancelled &&
          countMissing(task, vm.Endpoint) >= step.MayMiss)
        violate("availability budget exceeded by a VM order: " + nameOf(task));
    }
  if (maintenance)
    checkWaveLimit(order);
  removeEndpoint(vm.Endpoint);
  vm.Endpoint = {};
  vm.State = maintenance ? VmState::Maintenance : VmState::Moving;
  if (maintenance) {
    MaintainedInWaves[order.Vm].insert(order.Wave);
    ++MaintenanceCounts[order.Vm];
    MaxDown = std::max(MaxDown, ++Down);
  } else {
    ++Moves;
  }
  const auto pool = maintenance ? vm.Pool : order.To;
  vm.Pool = pool;
  scheduleAt(Now + (maintenance ? MaintenanceMs : MoveMs),
             [this, id = order.Vm, pool, maintenance] {
               Down -= maintenance ? 1 : 0;
               bringUp(id, pool);
             });
  return VmOrderResult::Accepted;
}

// --- callers

jobs::JobReply TestFleet::submit(const std::string &id,
                                 const jobs::JobSpec &spec,
                                 const std::string &queue,
                                 const std::string &name) {
  auto call = testCall(jobs::JobVerb::Submit, id, queue);
  call.Call = name;
  call.Spec = spec;
  // The reply may come after this function has returned.
  const auto answer = std::make_shared<std::optional<jobs::JobReply>>();
  Core->handleCall(call, [answer](const core::Result<jobs::JobReply> &reply) {
    if (reply)
      *answer = reply.value();
  });
  for (int64_t i = 0; i < 10 * CommitMs && !*answer; ++i)
    advance(1);
  auto out = answer->value_or(jobs::JobReply());
  const bool done = *answer && out.Outcome == jobs::JobOutcome::Done;
  if (done)
    AcceptedAt.try_emplace(id, Now);
  ++(done ? Accepted : Refused);
  return out;
}

jobs::JobState TestFleet::stateOf(const std::string &id) {
  jobs::JobReply out;
  Core->handleCall(
      testCall(jobs::JobVerb::Query, id),
      [&](const core::Result<jobs::JobReply> &reply) { out = reply.value(); });
  return out.State;
}

jobs::JobReply TestFleet::cancel(const std::string &id) {
  const auto answer = std::make_shared<jobs::JobReply>();
  Core->handleCall(testCall(jobs::JobVerb::Cancel, id),
                   [answer](const core::Result<jobs::JobReply> &reply) {
                     if (reply)
                       *answer = reply.value();
                   });
  advance(CommitMs * 3);
  return *answer;
}

void TestFleet::sendEvacuation(
    const std::string &zone, bool evacuate, const jobs::EvacuationBasis &basis,
    std::shared_ptr<std::optional<core::Status>> out) {
  Core->setEvacuation(
      {core::ZoneId(zone), evacuate, "test", "test", basis},
      [out = std::move(out)](const core::Status &status) { *out = status; });
}

bool TestFleet::setEvacuation(const std::string &zone, bool evacuate) {
  const auto read = Core->evacuations();
  if (!read)
    return false;
  const auto result = std::make_shared<std::optional<core::Status>>();
  sendEvacuation(zone, evacuate, read.value().Basis, result);
  for (int64_t i = 0; i < 10 * CommitMs && !*result; ++i)
    advance(1);
  return *result && bool(**result);
}

int64_t TestFleet::runningIn(const std::string &zone) const {
  int64_t n = 0;
  for (const auto &[id, endpoint] : Endpoints)
    n += endpoint.Facts.Zone.str() == zone ? int64_t(endpoint.Runs.size()) : 0;
  return n;
}

void TestFleet::startWave(int64_t number, const std::vector<core::VmId> &vms,
                          int64_t upper_limit, int64_t duration_ms) {
  jobs::WaveRecord wave;
  wave.Number = number;
  wave.Vms = vms;
  wave.UpperLimit = upper_limit;
  wave.DurationMs = duration_ms;
  wave.StartedWallMs = Now;
  Core->startWave(wave, [](const core::Status &) {});
  advance(CommitMs * 3);
}

} // namespace almondgate::dispatch
