#include "lost_work_check.hpp"
#include "test_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace almondgate::dispatch {

using jobs::JobRecord;
using jobs::StepSpec;
using jobs::TaskRef;

namespace {

// How many tasks of the size find room at the same time.
int64_t roomFor(const StepSpec &step, const TestFleet &fleet) {
  int64_t room = 0;
  for (const auto &[id, endpoint] : fleet.testEndpoints()) {
    core::Size used = step.Need;
    for (const auto &[task, run] : endpoint.Runs)
      used = used + run.Need;
    for (; core::fits(used, endpoint.Facts.Capacity); used = used + step.Need)
      ++room;
  }
  return room;
}

// A gang needs room for all its tasks at the same time.
bool hasRoomTwice(const StepSpec &step, const TestFleet &fleet) {
  return roomFor(step, fleet) >= 2 * (step.Gang ? step.Count : 1);
}

bool isRunning(const TaskRef &task, const TestFleet &fleet) {
  const auto &all = fleet.testEndpoints();
  return std::any_of(all.begin(), all.end(), [&](const auto &row) {
    return row.second.Runs.contains(task);
  });
}

} // namespace

bool LostWorkCheck::isDisturbed(const TestFleet &fleet,
                                const std::vector<core::VmId> &vms) {
  bool disturbed =
      !fleet.hasLeader() || !fleet.MayAct || fleet.CommitMs > QuickCommitMs ||
      fleet.OrderQueueMs > 0 || fleet.RenewalQueueMs > 0 ||
      fleet.lastDisturbedCall() > LastSample ||
      std::any_of(vms.begin(), vms.end(),
                  [&](const auto &vm) { return fleet.isRestarting(vm); });
  for (const auto &[id, endpoint] : fleet.testEndpoints()) {
    const int64_t born_ms = endpoint.Facts.BornMs;
    int64_t &known_ms = Incarnations.try_emplace(id, born_ms).first->second;
    disturbed = disturbed || endpoint.Unreachable || born_ms != known_ms;
    known_ms = born_ms;
  }
  return disturbed;
}

void LostWorkCheck::sample(const TestFleet &fleet,
                           const std::vector<core::VmId> &vms) {
  const int64_t now = fleet.now();
  // Nothing is known of the time before the first look.
  if (isDisturbed(fleet, vms) || LastSample == 0) {
    LastDisruption = now;
    LastSample = now;
  }
  for (const auto &[id, endpoint] : fleet.testEndpoints())
    for (const auto &[task, run] : endpoint.Runs)
      LastRun[task] = now;
  if (now - LastDisruption >= CalmMs) {
    CheckedMs += now - LastSample;
    for (const auto &[id, job] : fleet.ledger().Jobs)
      sampleJob(job, fleet);
  } else {
    IdleSince.clear();
  }
  LastSample = now;
}

void LostWorkCheck::sampleJob(const JobRecord &job, const TestFleet &fleet) {
  bool runs = false;
  bool waits = false;
  for (size_t i = 0; i < job.Tasks.size(); ++i) {
    const TaskRef task = jobs::taskAt(job.Id, *job.Spec, i);
    const StepSpec &step = job.Spec->Steps[size_t(task.Step)];
    const bool running = isRunning(task, fleet);
    const bool turn = !running && job.isOpen() && !job.Tasks[i].Done &&
                      jobs::isStepReady(job, task.Occurrence, task.Step) &&
                      hasRoomTwice(step, fleet);
    runs = runs || running;
    waits = waits || turn;
    if (step.LongRunning)
      count({job.Id, int64_t(i)}, turn, fleet.now());
  }
  count({job.Id, WholeJob}, waits && !runs, fleet.now());
}

void LostWorkCheck::count(const Subject &subject, bool idle, int64_t now) {
  if (!idle) {
    IdleSince.erase(subject);
    return;
  }
  const int64_t since = IdleSince.try_emplace(subject, now).first->second;
  LongestMs = std::max(LongestMs, now - since);
  if (now - since >= MaxIdleMs)
    reportIdle(subject, now, since);
}

void LostWorkCheck::reportIdle(const Subject &subject, int64_t now,
                               int64_t since) {
  std::string name = "job " + subject.first.str() + " has nothing running";
  if (subject.second != WholeJob) {
    const auto last =
        LastRun.lower_bound({subject.first, 0, 0, subject.second});
    const bool has_run = last != LastRun.end() &&
                         last->first.Job == subject.first &&
                         last->first.Index == subject.second;
    if (has_run && now - last->second < SettleMs)
      return;
    name = "long-running task " + std::to_string(subject.second) + " of job " +
           subject.first.str() + " does not run";
  }
  if (Reported.insert(subject).second)
    Violations.push_back(name + " for " + std::to_string(now - since) +
                         " ms, with room for it, " +
                         std::to_string(now - LastDisruption) +
                         " ms after the last disruption");
}

} // namespace almondgate::dispatch

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

constexpr int64_t Second = 1000;
constexpr int64_t SampleMs = 10;
// Long enough for the check to apply and to report.
constexpr int64_t EnoughMs =
    LostWorkCheck::CalmMs + LostWorkCheck::MaxIdleMs + 500;

struct CheckedFleet : Fleet {
  explicit CheckedFleet(int vms) : Fleet(vms) {}

  /// Lets time pass and looks for work that stands still.
  void watch(int64_t ms) {
    for (int64_t i = 0; i < ms; i += SampleMs) {
      advance(SampleMs);
      Check.sample(*this, VmIds);
    }
  }

  LostWorkCheck Check;
};

} // namespace

// Guards against a check that finds nothing: no start may leave.
TEST_CASE("the check for lost work finds work that is not started") {
  for (const bool lasts : {false, true}) {
    CAPTURE(lasts);
    CheckedFleet fleet(2);
    fleet.StartRoom = 0;
    fleet.submit(jobId(1), lasts ? longRunning(1, 1) : oneStep(1, 1, Second));
    fleet.watch(LostWorkCheck::CalmMs + LostWorkCheck::MaxIdleMs - 500);
    CHECK(fleet.Check.violations().empty());
    fleet.watch(Second);
    // A long-running task is judged by itself, too.
    CHECK(fleet.Check.violations().size() == (lasts ? 2 : 1));
  }
}

// As above: other tasks of the job run.
TEST_CASE("the check for lost work finds each long-running task") {
  CheckedFleet fleet(3);
  fleet.submit(jobId(1), longRunning(2, 1));
  fleet.watch(EnoughMs);
  REQUIRE(fleet.running() == 2);
  CHECK(fleet.Check.violations().empty());
  fleet.StartRoom = 0;
  for (const auto &vm : fleet.VmIds) {
    if (fleet.running() < 2 || !fleet.isUp(vm))
      continue;
    auto &runs = fleet.endpointOf(vm).Runs;
    if (!runs.empty())
      runs.erase(runs.begin());
  }
  REQUIRE(fleet.running() == 1);
  fleet.watch(LostWorkCheck::SettleMs - 100);
  CHECK(fleet.Check.violations().empty());
  fleet.watch(Second);
  CHECK(fleet.Check.violations().size() == 1);
}

// Guards against broken days that are none: what the rule leaves out.
TEST_CASE("the check for lost work leaves out full and disturbed fleets") {
  for (const bool full : {false, true}) {
    CAPTURE(full);
    CheckedFleet fleet(2);
    if (full)
      fleet.submit(jobId(1), oneStep(1, 40, 60 * Second));
    fleet.advance(100);
    fleet.StartRoom = 0;
    // One VM has room for it: not twice over.
    fleet.submit(jobId(2), oneStep(1, 40, Second));
    for (int64_t ms = 0; ms < 3 * EnoughMs; ms += Second) {
      if (!full)
        fleet.endpointOf(fleet.VmIds[0]).Unreachable = ms % 4000 < 2000;
      fleet.watch(Second);
    }
    CHECK(fleet.Check.violations().empty());
  }
}
