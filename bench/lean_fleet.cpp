#include "lean_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace almondgate::bench {

using namespace dispatch;
using jobs::TaskRef;

namespace {

constexpr int64_t LatencyMs = 1;
constexpr int64_t CommitMs = 5;
constexpr int64_t TickMs = 50;
constexpr int64_t HeartbeatMs = 1500;
constexpr int64_t CoresOfVm = 32;
constexpr int64_t MilliCpus = 1000;
constexpr int64_t VmMemoryMb = 1 << 17;
constexpr int64_t CoresOfShortTask = 2;
constexpr int64_t TasksOfShortStep = 8;
constexpr int64_t TasksOfLongJob = 24;
constexpr int64_t VmsPerRack = 12;
constexpr int64_t ShortestRunMs = 700;
constexpr int64_t LongestRunMs = 1700;
// Long enough for the bench's backlog to be accepted.
constexpr int64_t TargetMs = 600000;

jobs::StepSpec step(int64_t count, int64_t cores, int64_t estimate_ms) {
  jobs::StepSpec out;
  out.Count = count;
  out.Need.MilliCpus = cores * MilliCpus;
  out.Need.MemoryMb = cores * VmMemoryMb / CoresOfVm;
  out.EstimateMs = estimate_ms;
  return out;
}

std::string hexId(int64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(n));
  return text;
}

jobs::FleetConfig configuration(int64_t pools) {
  jobs::FleetConfig config;
  config.Version = 1;
  config.Teams = {{core::TeamId("team"), {"key"}, 1, {}}};
  for (int64_t i = 0; i < pools; ++i) {
    const std::string pool = "pool-" + std::to_string(i);
    config.Pools.push_back({core::PoolId(pool)});
    jobs::QueueSpec queue;
    queue.Id = core::QueueId("queue-" + std::to_string(i));
    queue.Host = "jobs.example";
    queue.PathPrefix = "/" + pool + "/";
    queue.Pool = core::PoolId(pool);
    queue.MaxAttempts = 3;
    queue.Stretch = 2;
    queue.TargetMs = TargetMs;
    config.Queues.push_back(queue);
  }
  return config;
}

} // namespace

LeanFleet::LeanFleet(int64_t vms, int64_t open_per_pool) : Calendar(Slots) {
  jobs::apply(Ledger, jobs::ConfigReplaced{configuration(PoolCount)});
  jobs::apply(Ledger, jobs::EpochBegun{"bench"});
  Endpoints.resize(size_t(vms));
  for (int64_t i = 0; i < vms; ++i) {
    auto &facts = Endpoints[size_t(i)].Facts;
    const std::string number = std::to_string(i);
    facts.Id = jobs::EndpointId("endpoint-" + number);
    facts.BornMs = Now;
    facts.Vm = core::VmId("vm-" + number);
    facts.Pool = core::PoolId("pool-" + std::to_string(i % PoolCount));
    facts.At = {"10.0.0.1", uint16_t(1000 + i)};
    facts.Zone = core::ZoneId("zone-" + std::to_string(i % 3));
    facts.Rack = core::RackId("rack-" + std::to_string(i / VmsPerRack));
    facts.Labels = {"standard", facts.Rack.str()};
    facts.Capacity = {0, CoresOfVm * MilliCpus, VmMemoryMb, 0};
    jobs::apply(Ledger, jobs::EndpointRegistered{facts});
  }
  Core = std::make_unique<Dispatcher>(DispatcherOptions(), hooks(), Ledger);
  Core->startLeading(Ledger.Epoch);
  advance(200);
  for (int64_t pool = 0; pool < PoolCount; ++pool)
    for (int64_t left = vms / PoolCount - open_per_pool; left > 0;
         left -= TasksOfLongJob) {
      jobs::JobSpec spec;
      spec.Steps = {step(std::min(left, TasksOfLongJob), CoresOfVm, 0)};
      spec.Steps[0].LongRunning = true;
      submit(std::move(spec), pool);
    }
  advance(2000);
}

void LeanFleet::at(int64_t time, std::function<void()> fn) {
  if (time - Now >= int64_t(Slots))
    std::abort();
  Calendar[size_t(time) % Slots].push_back(std::move(fn));
}

void LeanFleet::advance(int64_t ms, bool heartbeats) {
  for (int64_t i = 0; i < ms; ++i) {
    ++Now;
    auto &slot = Calendar[size_t(Now) % Slots];
    for (size_t k = 0; k < slot.size(); ++k) {
      const auto fn = std::move(slot[k]);
      fn();
    }
    slot.clear();
    // Endpoints don't send their heartbeats all at once.
    for (size_t k = size_t(Now % HeartbeatMs);
         heartbeats && k < Endpoints.size(); k += HeartbeatMs)
      Core->handleHeartbeat(Endpoints[k].Facts, ++Sequence,
                            [](const core::Status &) {});
    if (Now % TickMs == 0)
      Core->tick();
  }
}

void LeanFleet::sendHeartbeats() {
  for (const auto &endpoint : Endpoints)
    Core->handleHeartbeat(endpoint.Facts, ++Sequence,
                          [](const core::Status &) {});
}

void LeanFleet::setOpenJobs(int64_t jobs) {
  WantedJobs = jobs;
  for (int64_t i = OpenShortJobs; i < jobs; ++i)
    submitShort();
}

// Half of the jobs have a second step.
void LeanFleet::submitShort() {
  jobs::JobSpec spec;
  spec.Content = std::string(200, 'x');
  const int64_t estimate = ShortestRunMs + NextJob * 37 % 1000;
  spec.Steps = {step(TasksOfShortStep, CoresOfShortTask, estimate)};
  if (NextJob % 2 == 0) {
    spec.Steps.push_back(spec.Steps[0]);
    spec.Steps[1].After = {0};
  }
  ++OpenShortJobs;
  OpenTasks += TasksOfShortStep * int64_t(spec.Steps.size());
  submit(std::move(spec), NextJob % PoolCount);
}

void LeanFleet::submit(jobs::JobSpec spec, int64_t pool) {
  jobs::JobCall call;
  call.Verb = jobs::JobVerb::Submit;
  call.Host = "jobs.example";
  call.Path = "/pool-" + std::to_string(pool) + "/" + hexId(NextJob++);
  call.Key = "key";
  call.Call = hexId(NextJob);
  call.Spec = std::move(spec);
  Core->handleCall(call, [](const core::Result<jobs::JobReply> &reply) {
    if (!reply || reply.value().Outcome != jobs::JobOutcome::Done) {
      std::fprintf(stderr, "a job of the bench was not accepted: %s\n",
                   reply ? reply.value().Text.c_str() : "no answer");
      std::abort();
    }
  });
}

DispatcherHooks LeanFleet::hooks() {
  DispatcherHooks hooks;
  hooks.Now = [this] { return core::TimeMs{Now}; };
  hooks.WallClock = [this] { return Now; };
  hooks.MayAct = [] { return true; };
  hooks.Log = [](const std::string &) {};
  hooks.Defer = [this](core::DurationMs delay, std::function<void()> fn) {
    at(Now + std::max<int64_t>(delay.Count, 1), std::move(fn));
  };
  hooks.Record = [this](std::vector<jobs::Event> events, auto done) {
    at(Now + CommitMs, [this, events = std::move(events), done] {
      for (const auto &event : events)
        jobs::apply(Ledger, event);
      for (const auto &event : events)
        Core->onEventApplied(event);
      done(true);
    });
  };
  const auto index_of = [](const jobs::EndpointFacts &facts) {
    constexpr int64_t FirstPort = 1000;
    return size_t(facts.At.Port - FirstPort);
  };
  hooks.Start = [this, index_of](const auto &facts, const StartOrder &order,
                                 const auto &may_send, auto done) {
    if (!may_send())
      std::abort();
    start(index_of(facts), order);
    at(Now + LatencyMs, [this, done] { done({OrderResult::Accepted, Now}); });
  };
  hooks.Stop = [](const auto &, const StopOrder &, const auto &, auto) {
    std::abort();
  };
  hooks.Renew = [this, index_of](const auto &facts, const RenewRequest &request,
                                 const auto &, auto done) {
    const size_t i = index_of(facts);
    StandIn &endpoint = Endpoints[i];
    endpoint.LastSeen = std::max(endpoint.LastSeen, request.LastSeen);
    std::erase_if(endpoint.Ends, [&](const EndReport &report) {
      return report.Number <= endpoint.LastSeen;
    });
    endpoint.Renewal = std::move(done);
    ++endpoint.RenewalNumber;
    if (request.WaitMs == 0 || !endpoint.Ends.empty())
      answerRenewal(i);
    else
      at(Now + request.WaitMs, [this, i, number = endpoint.RenewalNumber] {
        if (Endpoints[i].RenewalNumber == number)
          answerRenewal(i);
      });
  };
  hooks.ListVms = [this](auto done) {
    std::vector<VmListing> out;
    for (const auto &endpoint : Endpoints)
      out.push_back({endpoint.Facts.Vm, endpoint.Facts.Pool, VmState::Up,
                     endpoint.Facts.Rack, endpoint.Facts.Id});
    at(Now + LatencyMs, [out = std::move(out), done] { done(out); });
  };
  // No VM may change its pool.
  hooks.OrderVm = [this](const VmOrder &, const auto &, auto done) {
    at(Now + LatencyMs, [done] { done(VmOrderResult::Refused); });
  };
  return hooks;
}

void LeanFleet::start(size_t endpoint, const StartOrder &order) {
  const auto &job = Ledger.Jobs.at(order.Task.Job);
  const bool lasts = job.Spec->Steps[size_t(order.Task.Step)].LongRunning;
  Endpoints[endpoint].Runs.push_back({order.Task, order.Run, lasts});
  if (lasts)
    return;
  ++Running;
  const int64_t run_ms = ShortestRunMs + (order.Task.Index * 173 + Ended * 7) %
                                             (LongestRunMs - ShortestRunMs);
  at(Now + run_ms,
     [this, endpoint, task = order.Task] { end(endpoint, task); });
}

void LeanFleet::end(size_t endpoint, const TaskRef &task) {
  StandIn &stand_in = Endpoints[endpoint];
  const auto run =
      std::find_if(stand_in.Runs.begin(), stand_in.Runs.end(),
                   [&](const Run &row) { return row.Task == task; });
  stand_in.Ends.push_back(
      {++stand_in.EndCount, task, run->Number, RunEnd::Done, ""});
  stand_in.Runs.erase(run);
  --Running;
  --OpenTasks;
  ++Ended;
  const auto &job = Ledger.Jobs.at(task.Job);
  const bool last = task.Step + 1 == int64_t(job.Spec->Steps.size());
  // The job ends once the ends on their way are durable.
  if (last && job.Remaining == 1)
    at(Now + 2 * CommitMs, [this] {
      if (--OpenShortJobs < WantedJobs)
        submitShort();
    });
  if (stand_in.Renewal)
    answerRenewal(endpoint);
}

void LeanFleet::answerRenewal(size_t i) {
  StandIn &endpoint = Endpoints[i];
  ++endpoint.RenewalNumber;
  at(Now + LatencyMs, [this, i, done = std::exchange(endpoint.Renewal, {})] {
    const StandIn &from = Endpoints[i];
    RenewReply reply;
    reply.Result = OrderResult::Accepted;
    reply.Inventory.ClockMs = Now;
    reply.Inventory.BornMs = from.Facts.BornMs;
    constexpr int64_t ReadyPercent = 100;
    for (const auto &run : from.Runs)
      reply.Inventory.Running.push_back(
          {run.Task, run.Number, "", run.LongRunning ? ReadyPercent : 0, 0});
    reply.Inventory.Ended = from.Ends;
    done(reply);
  });
}

} // namespace almondgate::bench
