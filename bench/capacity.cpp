// Measures processor time and memory of the real code at growing fleet sizes,
// in virtual time. docs/CAPACITY.md is calculated from how the figures grow.

#include "almondgate/control/leader_plan.hpp"
#include "almondgate/control/session_table.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/model/grant.hpp"
#include "almondgate/model/grant_request.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/placer/pool_scheduler.hpp"
#include "almondgate/state/state.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>

using namespace almondgate;

namespace {

struct FleetSize {
  int Vms;
  int Pools;
  int Teams;
  int Processes;
};

constexpr FleetSize Sizes[] = {{50, 5, 6, 14},
                               {1000, 28, 21, 20},
                               {5000, 70, 53, 40},
                               {21000, 282, 210, 94}};

// Returns the mean microseconds of a call, repeated for at least 100 ms.
double meanMicroseconds(const std::function<void()> &fn) {
  using Clock = std::chrono::steady_clock;
  constexpr double MinElapsedUs = 100000;
  int calls = 0;
  double elapsed = 0;
  const auto began = Clock::now();
  while (elapsed < MinElapsedUs) {
    fn();
    ++calls;
    elapsed =
        std::chrono::duration<double, std::micro>(Clock::now() - began).count();
  }
  return elapsed / calls;
}

double residentMb() {
  std::ifstream in("/proc/self/statm");
  long total = 0;
  long resident = 0;
  in >> total >> resident;
  constexpr double PageBytes = 4096;
  return double(resident) * PageBytes / 1e6;
}

core::PoolId poolName(int i) {
  return core::PoolId("pool-" + std::to_string(i));
}
core::TeamId teamName(int i) {
  return core::TeamId("team-" + std::to_string(i));
}
core::VmId vmName(int i) { return core::VmId("vm-" + std::to_string(i)); }
core::ProcessId placerName(int i) {
  return core::ProcessId("placer-" + std::to_string(i));
}

model::Vm sampleVm(int i, int pools) {
  model::Vm vm;
  vm.Id = vmName(i);
  vm.Pool = poolName(i % pools);
  vm.Endpoint = {"10.0.0.1", 8080};
  vm.Zone = core::ZoneId("zone-" + std::to_string(i % 10));
  vm.Rack = core::RackId("rack-" + std::to_string(i / 4));
  vm.BootId = "0123456789ab";
  vm.Capacity = {8, 64000, int64_t{256} * 1024, 2};
  return vm;
}

model::View sampleView(const FleetSize &size) {
  model::View view;
  for (int i = 0; i < size.Pools; ++i) {
    view.apply({1, false, model::Pool{poolName(i)}});
    view.apply({1, false,
                model::PoolOwner{poolName(i),
                                 placerName(i % size.Processes),
                                 {"10.0.0.2", 7000},
                                 1}});
  }
  for (int i = 0; i < size.Teams; ++i) {
    view.apply({1, false, model::Team{teamName(i), 1, 1000}});
    for (int p = 0; p < 3; ++p)
      view.apply(
          {1, false,
           model::Portion{teamName(i), poolName((i + p) % size.Pools), 100}});
    view.apply({1, false,
                model::Queue{core::QueueId("queue-" + std::to_string(i)),
                             poolName(i % size.Pools), teamName(i)}});
    view.apply(
        {1, false,
         model::Key{core::KeyHash(std::string(64, 'a') + std::to_string(i)),
                    teamName(i)}});
  }
  for (int i = 0; i < size.Vms; ++i)
    view.apply({1, false, sampleVm(i, size.Pools)});
  return view;
}

model::WatchRequest placerHeartbeat(const FleetSize &size, int placer) {
  model::WatchRequest out;
  out.From = {placerName(placer), model::Role::Placer, {"10.0.0.2", 7000}, {}};
  out.Revision = 1;
  for (int pool = placer; pool < size.Pools; pool += size.Processes)
    for (int team = 0; team < 3; ++team)
      out.Demands.push_back(
          {poolName(pool), teamName((pool + team) % size.Teams), 20, 5});
  for (int vm = 0; vm < size.Vms; ++vm)
    if (vm % size.Pools % size.Processes == placer)
      out.Vms.push_back({vmName(vm), 3, true});
  return out;
}

void show(const FleetSize &size, const char *what, double value,
          const char *unit) {
  std::printf("%6d VMs %4d pools %4d teams  %-46s %12.1f %s\n", size.Vms,
              size.Pools, size.Teams, what, value, unit);
  std::fflush(stdout);
}

void measureState(const FleetSize &size) {
  const double before = residentMb();
  state::State state;
  state.View = sampleView(size);
  show(size, "memory of the view", residentMb() - before, "MB");
  model::WatchReply snapshot;
  snapshot.Snapshot = true;
  snapshot.Updates = model::snapshotOf(state.View);
  const std::string bytes = encoding::encode(snapshot);
  show(size, "snapshot for a watcher", double(bytes.size()) / 1e6, "MB");
  show(size, "encode it",
       meanMicroseconds([&] { (void)encoding::encode(snapshot); }) / 1000,
       "ms");
  show(size, "decode it and build a view",
       meanMicroseconds([&] {
         const auto reply = encoding::decode<model::WatchReply>(bytes);
         (void)model::withUpdates({}, reply.value().Updates);
       }) / 1000,
       "ms");
  state::Change change;
  change.What = state::MoveVm{vmName(0), poolName(0), poolName(1)};
  state::Change back;
  back.What = state::MoveVm{vmName(0), poolName(1), poolName(0)};
  show(size, "apply a change", meanMicroseconds([&] {
                                 (void)state::applyChange(state, change, "");
                                 (void)state::applyChange(state, back, "");
                               }) / 2,
       "us");
  change.Operator = core::OperatorId("ann");
  change.Reason = "moved for the storm";
  show(size, "bytes of a change", double(encoding::encode(change).size()),
       "bytes");
  show(size, "copy of the view in a process",
       meanMicroseconds([&] { const model::View copy = state.View; }), "us");
}

void measureLeader(const FleetSize &size) {
  const auto view = sampleView(size);
  control::SessionTable sessions;
  size_t bytes = 0;
  for (int i = 0; i < size.Processes; ++i) {
    const auto heartbeat = placerHeartbeat(size, i);
    bytes += encoding::encode(heartbeat).size();
    sessions.recordHeartbeat(heartbeat, {0});
  }
  show(size, "bytes of all placers' heartbeats", double(bytes), "bytes");
  const auto first = placerHeartbeat(size, 0);
  const std::string encoded = encoding::encode(first);
  show(size, "decode one heartbeat", meanMicroseconds([&] {
         (void)encoding::decode<model::WatchRequest>(encoded);
       }),
       "us");
  show(size, "leader: plan owners",
       meanMicroseconds([&] { (void)control::planPoolOwners(view, sessions); }),
       "us");
  show(size, "leader: plan portions", meanMicroseconds([&] {
         (void)control::planTeamPortions(view, sessions, 1);
       }),
       "us");
  auto with_wave = view;
  model::Wave wave;
  wave.Id = core::WaveId("w");
  for (int i = 0; i < size.Vms; ++i)
    wave.Steps[vmName(i)] = model::StepPhase::Waiting;
  with_wave.apply({2, false, wave});
  show(size, "leader: plan a wave over every VM",
       meanMicroseconds([&] {
         (void)control::planWaves(with_wave, sessions);
       }) / 1000,
       "ms");
}

void measurePlacer(const FleetSize &size) {
  const auto view = sampleView(size);
  placer::PoolScheduler scheduler(poolName(0), 1, {0}, {},
                                  [](const std::string &) {});
  show(size, "placer: take over a new view",
       meanMicroseconds([&] { scheduler.setView(view); }), "us");
  for (const auto &[id, vm] : view.Vms) {
    model::Announcement report;
    report.Vm = id;
    scheduler.report(report, {1});
  }
  int n = 0;
  show(size, "placer: a grant and its release", meanMicroseconds([&] {
         model::GrantRequest request;
         request.Id = core::RequestId(std::to_string(n++));
         request.Pool = poolName(0);
         request.Team = teamName(0);
         request.Need = {1, 1000, 1024, 0};
         request.WaitMs = 1000;
         scheduler.enqueue(request, [](const auto &) {}, {1});
         scheduler.grantWaiting({1});
         scheduler.release(
             {request.Id, poolName(0), model::RunEnd::Succeeded, 5}, {1});
         scheduler.expire({1 + n});
       }),
       "us");
}

void measureMessages(const FleetSize &size) {
  model::Announcement report;
  report.Vm = vmName(0);
  report.BootId = "0123456789ab";
  for (int i = 0; i < 8; ++i)
    report.Running.push_back(
        {core::RequestId("entry-0123456789ab-12345@entry#1/0." +
                         std::to_string(i)),
         teamName(0)});
  const std::string bytes = encoding::encode(report);
  show(size, "bytes of a full VM's announcement", double(bytes.size()),
       "bytes");
  show(size, "encode and decode it", meanMicroseconds([&] {
         (void)encoding::decode<model::Announcement>(encoding::encode(report));
       }),
       "us");
  model::GrantRequest request;
  request.Id = report.Running[0].Id;
  request.Pool = poolName(0);
  show(size, "encode and decode a grant request", meanMicroseconds([&] {
         (void)encoding::decode<model::GrantRequest>(encoding::encode(request));
       }),
       "us");
}

} // namespace

// Usage: almondgate-capacity [VMS]
// With VMS only the fleet of that size is measured, so that the memory of
// smaller fleets doesn't distort its figures.
int main(int argc, char **argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  for (const auto &size : Sizes) {
    if (!only.empty() && std::to_string(size.Vms) != only)
      continue;
    measureState(size);
    measureLeader(size);
    measurePlacer(size);
  }
  measureMessages(Sizes[0]);
}
