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

/// Takes one outcome and tells whether the endpoint is to be ejected now.
using Detector = std::function<bool(TimeMs, bool success)>;

constexpr int64_t FewestRuns = 10;
constexpr double FailureRate = 0.5;

Detector slidingWindow() {
  return [window = policy::OutcomeWindow()](TimeMs now, bool success) mutable {
    window = window.withOutcome(now, success);
    const auto n = window.count(now);
    return n >= FewestRuns &&
           double(window.failures(now)) >= FailureRate * double(n);
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
    return counts.Runs >= FewestRuns &&
           double(counts.Failures) >= FailureRate * double(counts.Runs);
  };
}

Detector consecutiveFailures() {
  constexpr int InARow = 5;
  return [row = 0](TimeMs, bool success) mutable {
    row = success ? 0 : row + 1;
    return row >= InARow;
  };
}

// The rule of the placer, beside nine others that fail one run in twenty.
Detector asBuilt() {
  return [window = policy::OutcomeWindow()](TimeMs now, bool success) mutable {
    window = window.withOutcome(now, success);
    return !success && policy::mustEject({window.count(now),
                                          window.failures(now), 100, 5, 0, 10});
  };
}

// A worker goes bad at a random moment and fails `rate` of its runs.
double lostRuns(const std::function<Detector()> &make, double rate,
                std::mt19937_64 &dice) {
  std::uniform_real_distribution<double> unit(0, 1);
  const Detector detect = make();
  constexpr double RunsPerSecond = 1.2;
  constexpr double LongestSeconds = 120;
  double at = unit(dice) * 20;
  const double end = at + LongestSeconds;
  double lost = 0;
  while (at < end) {
    at += -std::log(1 - unit(dice)) / RunsPerSecond;
    const bool success = unit(dice) > rate;
    lost += success ? 0 : 1;
    if (detect({int64_t(at * 1000)}, success))
      break;
  }
  return lost;
}

bool wronglyEjected(const std::function<Detector()> &make,
                    std::mt19937_64 &dice) {
  std::uniform_real_distribution<double> unit(0, 1);
  const Detector detect = make();
  constexpr double FailuresOfTheWell = 0.05;
  double at = unit(dice) * 20;
  for (int i = 0; i < 2000; ++i) {
    at += -std::log(1 - unit(dice)) / 1.2;
    if (detect({int64_t(at * 1000)}, unit(dice) > FailuresOfTheWell))
      return true;
  }
  return false;
}

} // namespace

std::vector<Figure> benchDetectors(const std::vector<uint64_t> &seeds) {
  struct Way {
    const char *Name;
    std::function<Detector()> Make;
  };
  const std::vector<Way> ways = {{"sliding window", slidingWindow},
                                 {"tumbling window", tumblingWindow},
                                 {"5 in a row", consecutiveFailures},
                                 {"as built", asBuilt}};
  constexpr int Trials = 400;
  std::vector<Figure> out;
  for (const auto &way : ways) {
    Figure all{"detectors", way.Name, "lost, worker fails all", "runs", "", {}};
    Figure most{"detectors", way.Name, "lost, worker fails 7 of 10",
                "runs",      "",       {}};
    Figure wrong{"detectors", way.Name, "well workers ejected in 2000 runs",
                 "%",         "",       {}};
    for (const uint64_t seed : seeds) {
      std::mt19937_64 dice(seed);
      double lost_all = 0;
      double lost_most = 0;
      int ejected = 0;
      for (int i = 0; i < Trials; ++i) {
        lost_all += lostRuns(way.Make, 1.0, dice);
        lost_most += lostRuns(way.Make, 0.7, dice);
        ejected += wronglyEjected(way.Make, dice) ? 1 : 0;
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
  struct Way {
    const char *Name;
    bool Budget;
  };
  std::vector<Figure> out;
  for (const auto &way : {Way{"budget", true}, Way{"3 attempts each", false}}) {
    Figure attempts{"retries", way.Name, "attempts for a request, all failing",
                    "x",       "<1.1",   {}};
    for (const uint64_t seed : seeds) {
      (void)seed;
      policy::RetryBudget budget;
      constexpr int Requests = 20000;
      constexpr int MostAttempts = 3;
      int64_t sent = 0;
      for (int i = 0; i < Requests; ++i) {
        budget = budget.withRequest();
        ++sent;
        for (int n = 1; n < MostAttempts; ++n) {
          if (way.Budget && !budget.allowsRetry())
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

/// A fleet of today's size in which a reboot wave runs.
class VirtualWave {
public:
  explicit VirtualWave(uint64_t seed) : Dice(seed) {
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

  /// Runs the wave and gives its length; `serial` takes one VM at a time.
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
        take(step);
      }
      MostOut = std::max(MostOut, mostOut());
    }
    return NowMs;
  }

  int64_t mostOutOverBudget() const { return MostOut; }

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

  int64_t mostOut() const {
    int64_t most = 0;
    for (const auto &[pool, record] : State.View.Pools)
      most =
          std::max(most, policy::unavailableInPool(State.View, pool, Statuses) -
                             state::availabilityBudget(State.View, pool));
    return most;
  }

  void take(const policy::WaveStep &step) {
    change(state::AdvanceWave{step.Wave, step.Vm, step.From, step.To});
    if (step.To == StepPhase::Draining)
      EmptyAt[step.Vm] = NowMs + drainTime();
    if (step.To == StepPhase::Released) {
      BackAt[step.Vm] = NowMs + RebootMs;
      Statuses[step.Vm].Healthy = false;
    }
  }

  // What runs on a VM ends within seconds, off by up to ten times.
  int64_t drainTime() {
    std::uniform_real_distribution<double> tenfold(-1, 1);
    constexpr double MeanMs = 4000;
    return int64_t(MeanMs * std::pow(10, tenfold(Dice)));
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

  std::mt19937_64 Dice;
  int64_t NowMs = 0;
  int64_t MostOut = 0;
  state::State State;
  policy::VmStatuses Statuses;
  std::map<VmId, model::Announcement> Facts;
  std::map<VmId, int64_t> EmptyAt;
  std::map<VmId, int64_t> BackAt;
};

// Each pool reboots two at a time: with the drain times of the same seed no
// order can be shorter than the sum of its times over the budget.
double lowerBoundMs(uint64_t seed) {
  std::mt19937_64 dice(seed);
  std::uniform_real_distribution<double> tenfold(-1, 1);
  double mean = 0;
  constexpr int Draws = 50;
  for (int i = 0; i < Draws; ++i)
    mean += 4000 * std::pow(10, tenfold(dice)) / Draws;
  constexpr double BudgetOfAPool = 2;
  return VmsPerPool * (mean + double(RebootMs)) / BudgetOfAPool;
}

} // namespace

std::vector<Figure> benchWaves(const std::vector<uint64_t> &seeds) {
  std::vector<Figure> out;
  for (const bool serial : {false, true}) {
    const char *name = serial ? "one VM at a time" : "by budget and rack";
    Figure length{"waves", name,     "roll-out over its lower bound",
                  "x",     "<=1.15", {}};
    Figure over{"waves", name, "most out beyond the budget", "VMs", "0", {}};
    Figure moves{"waves", name, "moves", "VMs", "", {}};
    for (const uint64_t seed : seeds) {
      VirtualWave wave(seed);
      length.Values.push_back(double(wave.run(serial)) / lowerBoundMs(seed));
      over.Values.push_back(double(wave.mostOutOverBudget()));
      moves.Values.push_back(0);
    }
    out.insert(out.end(), {length, over, moves});
  }
  return out;
}

} // namespace almondgate::bench
