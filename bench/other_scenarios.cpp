#include "almondgate/policy/ejection.hpp"
#include "almondgate/policy/outcome_window.hpp"
#include "almondgate/policy/retry_budget.hpp"
#include "almondgate/policy/wave_plan.hpp"
#include "almondgate/state/state.hpp"
#include "scenarios.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace almondgate::bench {

using core::TimeMs;
using core::VmId;
using model::StepPhase;

// --- detectors

namespace {

/// Records the outcome of a run; returns whether the endpoint must be ejected.
using Detector = std::function<bool(TimeMs, bool success)>;

constexpr int64_t MinRuns = 10;
constexpr double MaxFailureRate = 0.5;

Detector slidingWindow() {
  return [window = policy::OutcomeWindow()](TimeMs now, bool success) mutable {
    window = window.withOutcome(now, success);
    const auto n = window.count(now);
    return n >= MinRuns &&
           double(window.failures(now)) >= MaxFailureRate * double(n);
  };
}

Detector tumblingWindow() {
  struct Counts {
    int64_t Window = -1;
    int64_t Runs = 0;
    int64_t Failures = 0;
  };
  return [counts = Counts()](TimeMs now, bool success) mutable {
    constexpr int64_t WindowMs = 10000;
    const int64_t window = now.Count / WindowMs;
    if (counts.Window != window)
      counts = {window, 0, 0};
    ++counts.Runs;
    counts.Failures += success ? 0 : 1;
    return counts.Runs >= MinRuns &&
           double(counts.Failures) >= MaxFailureRate * double(counts.Runs);
  };
}

Detector consecutiveFailures() {
  constexpr int MaxConsecutive = 5;
  return [failures = 0](TimeMs, bool success) mutable {
    failures = success ? 0 : failures + 1;
    return failures >= MaxConsecutive;
  };
}

// The ejection rule of the placer, for a worker in a pool with nine others that
// fail one run in twenty.
Detector placerRule() {
  return [window = policy::OutcomeWindow()](TimeMs now, bool success) mutable {
    window = window.withOutcome(now, success);
    return !success && policy::mustEject({window.count(now),
                                          window.failures(now), 100, 5, 0, 10});
  };
}

// Returns the runs that a worker fails until it is ejected. It starts to fail
// at a random time, with a probability of `failure_rate` for each run.
double lostRuns(const std::function<Detector()> &make, double failure_rate,
                std::mt19937_64 &rng) {
  std::uniform_real_distribution<double> unit(0, 1);
  const Detector detect = make();
  constexpr double RunsPerSecond = 1.2;
  constexpr double MaxSeconds = 120;
  double at = unit(rng) * 20;
  const double end = at + MaxSeconds;
  double lost = 0;
  while (at < end) {
    at += -std::log(1 - unit(rng)) / RunsPerSecond;
    const bool success = unit(rng) > failure_rate;
    lost += success ? 0 : 1;
    if (detect({int64_t(at * 1000)}, success))
      break;
  }
  return lost;
}

// Returns whether a worker with a failure rate of 5 % is ejected within 2000
// runs.
bool wronglyEjected(const std::function<Detector()> &make,
                    std::mt19937_64 &rng) {
  std::uniform_real_distribution<double> unit(0, 1);
  const Detector detect = make();
  constexpr double HealthyFailureRate = 0.05;
  double at = unit(rng) * 20;
  for (int i = 0; i < 2000; ++i) {
    at += -std::log(1 - unit(rng)) / 1.2;
    if (detect({int64_t(at * 1000)}, unit(rng) > HealthyFailureRate))
      return true;
  }
  return false;
}

} // namespace

std::vector<Figure> benchDetectors(const std::vector<uint64_t> &seeds) {
  struct Variant {
    const char *Name;
    std::function<Detector()> Make;
  };
  const std::vector<Variant> variants = {{"sliding window", slidingWindow},
                                         {"tumbling window", tumblingWindow},
                                         {"5 in a row", consecutiveFailures},
                                         {"as built", placerRule}};
  constexpr int Trials = 400;
  std::vector<Figure> out;
  for (const auto &variant : variants) {
    Figure all{"detectors", variant.Name, "lost, worker fails all",
               "runs",      "",           {}};
    Figure most{"detectors", variant.Name, "lost, worker fails 7 of 10",
                "runs",      "",           {}};
    Figure wrong{
        "detectors", variant.Name, "healthy workers ejected in 2000 runs",
        "%",         "",           {}};
    for (const uint64_t seed : seeds) {
      std::mt19937_64 rng(seed);
      double lost_all = 0;
      double lost_most = 0;
      int ejected = 0;
      for (int i = 0; i < Trials; ++i) {
        lost_all += lostRuns(variant.Make, 1.0, rng);
        lost_most += lostRuns(variant.Make, 0.7, rng);
        ejected += wronglyEjected(variant.Make, rng) ? 1 : 0;
      }
      all.Values.push_back(lost_all / Trials);
      most.Values.push_back(lost_most / Trials);
      wrong.Values.push_back(100.0 * ejected / Trials);
    }
    out.insert(out.end(), {all, most, wrong});
  }
  return out;
}

// --- retries

std::vector<Figure> benchRetries(const std::vector<uint64_t> &seeds) {
  struct Variant {
    const char *Name;
    bool Budget;
  };
  std::vector<Figure> out;
  for (const auto &variant :
       {Variant{"budget", true}, Variant{"3 attempts each", false}}) {
    Figure attempts{
        "retries", variant.Name, "attempts per request, all failing",
        "x",       "<1.1",       {}};
    for (const uint64_t seed : seeds) {
      (void)seed;
      policy::RetryBudget budget;
      constexpr int Requests = 20000;
      constexpr int MaxAttempts = 3;
      int64_t sent = 0;
      for (int i = 0; i < Requests; ++i) {
        budget = budget.withRequest();
        ++sent;
        for (int n = 1; n < MaxAttempts; ++n) {
          if (variant.Budget && !budget.allowsRetry())
            break;
          budget = budget.withRetry();
          ++sent;
        }
      }
      attempts.Values.push_back(double(sent) / Requests);
    }
    out.push_back(attempts);
  }
  return out;
}

// --- waves

namespace {

constexpr int Pools = 5;
constexpr int VmsPerPool = 10;
constexpr int VmsPerRack = 4;
constexpr int64_t RebootMs = 60000;
constexpr int64_t StepMs = 100;

/// Simulates a reboot wave in a fleet of the current size, in virtual time.
class VirtualWave {
public:
  explicit VirtualWave(uint64_t seed) : Rng(seed) {
    for (int p = 0; p < Pools; ++p) {
      const core::PoolId pool("p" + std::to_string(p));
      change(state::PutRecords{{model::Pool{pool}}});
      for (int i = 0; i < VmsPerPool; ++i)
        addVm(pool, p * VmsPerPool + i);
    }
    model::Wave wave;
    wave.Id = core::WaveId("w");
    wave.Kind = model::WaveKind::Reboot;
    change(state::CreateWave{wave});
  }

  /// Runs the wave and returns its duration in milliseconds. With `serial` only
  /// one VM at a time is drained and rebooted.
  int64_t run(bool serial) {
    while (wave().Status == model::WaveStatus::Running) {
      NowMs += StepMs;
      advance();
      int64_t open = openSteps();
      const auto plan = policy::planWave(State.View, wave(), Statuses);
      for (const auto &step : plan.Steps) {
        const bool opens = step.To == StepPhase::Draining;
        if (serial && opens && open > 0)
          continue;
        open += opens ? 1 : 0;
        applyStep(step);
      }
      MaxOverBudget = std::max(MaxOverBudget, overBudget());
    }
    return NowMs;
  }

  /// The largest number of VMs that were unavailable beyond a pool's budget.
  int64_t maxOverBudget() const { return MaxOverBudget; }

private:
  void addVm(const core::PoolId &pool, int n) {
    model::Announcement facts;
    facts.Vm = VmId("v" + std::to_string(n));
    facts.Rack = core::RackId("r" + std::to_string(n / VmsPerRack));
    facts.BootId = "1";
    facts.Capacity = {8, 64000, 1, 0};
    change(state::RegisterVm{facts});
    change(state::MoveVm{facts.Vm, {}, pool});
    Statuses[facts.Vm] = {facts.Vm, 1, true};
    Facts[facts.Vm] = facts;
  }

  void change(const state::Command &command) {
    state::Change change;
    change.What = command;
    (void)state::applyChange(State, change, "");
  }

  const model::Wave &wave() const {
    return *model::find(State.View.Waves, core::WaveId("w"));
  }

  int64_t openSteps() const {
    return std::count_if(wave().Steps.begin(), wave().Steps.end(),
                         [](const auto &row) {
                           return row.second == StepPhase::Draining ||
                                  row.second == StepPhase::Released;
                         });
  }

  int64_t overBudget() const {
    int64_t max = 0;
    for (const auto &[pool, record] : State.View.Pools)
      max =
          std::max(max, policy::unavailableInPool(State.View, pool, Statuses) -
                            state::availabilityBudget(State.View, pool));
    return max;
  }

  void applyStep(const policy::WaveStep &step) {
    change(state::AdvanceWave{step.Wave, step.Vm, step.From, step.To});
    if (step.To == StepPhase::Draining)
      EmptyAt[step.Vm] = NowMs + drainTime();
    if (step.To == StepPhase::Released) {
      BackAt[step.Vm] = NowMs + RebootMs;
      Statuses[step.Vm].Healthy = false;
    }
  }

  // Returns a random drain time: the work on a VM ends within seconds, in 4 s
  // or up to ten times sooner or later.
  int64_t drainTime() {
    std::uniform_real_distribution<double> exponent(-1, 1);
    constexpr double MedianMs = 4000;
    return int64_t(MedianMs * std::pow(10, exponent(Rng)));
  }

  void advance() {
    std::erase_if(EmptyAt, [&](const auto &row) {
      if (row.second > NowMs)
        return false;
      Statuses[row.first].Running = 0;
      return true;
    });
    std::erase_if(BackAt, [&](const auto &row) {
      if (row.second > NowMs)
        return false;
      auto facts = Facts[row.first];
      facts.BootId = "2";
      change(state::RegisterVm{facts});
      Statuses[row.first] = {row.first, 1, true};
      return true;
    });
  }

  std::mt19937_64 Rng;
  int64_t NowMs = 0;
  int64_t MaxOverBudget = 0;
  state::State State;
  policy::VmStatuses Statuses;
  std::map<VmId, model::Announcement> Facts;
  std::map<VmId, int64_t> EmptyAt;
  std::map<VmId, int64_t> BackAt;
};

// Returns a lower bound for the duration of the wave. The budget lets each pool
// reboot two VMs at a time, so no order is faster than the sum of its drain and
// reboot times divided by two. The drain times come from the same seed.
double lowerBoundMs(uint64_t seed) {
  std::mt19937_64 rng(seed);
  std::uniform_real_distribution<double> exponent(-1, 1);
  double mean = 0;
  constexpr int Draws = 50;
  for (int i = 0; i < Draws; ++i)
    mean += 4000 * std::pow(10, exponent(rng)) / Draws;
  constexpr double PoolBudget = 2;
  return VmsPerPool * (mean + double(RebootMs)) / PoolBudget;
}

} // namespace

std::vector<Figure> benchWaves(const std::vector<uint64_t> &seeds) {
  std::vector<Figure> out;
  for (const bool serial : {false, true}) {
    const char *name = serial ? "one VM at a time" : "by budget and rack";
    Figure length{"waves", name,     "duration over its lower bound",
                  "x",     "<=1.15", {}};
    Figure over{"waves", name, "max VMs out beyond the budget", "VMs", "0", {}};
    Figure moves{"waves", name, "moves", "VMs", "", {}};
    for (const uint64_t seed : seeds) {
      VirtualWave wave(seed);
      length.Values.push_back(double(wave.run(serial)) / lowerBoundMs(seed));
      over.Values.push_back(double(wave.maxOverBudget()));
      moves.Values.push_back(0);
    }
    out.insert(out.end(), {length, over, moves});
  }
  return out;
}

} // namespace almondgate::bench
