#include "almondgate/policy/vm_choice.hpp"
#include "scenarios.hpp"
#include "virtual_pool.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::bench {

using core::TeamId;
using model::WorkClass;

namespace {

constexpr int PoolVms = 10;
constexpr int64_t VmSlots = 8;
constexpr int64_t BeginMs = 100000;

/// A named set of options for a pool.
struct NamedPolicy {
  const char *Name;
  placer::PoolOptions Options;
};

std::vector<TeamId>
firstInFirstOut(const std::vector<policy::TeamLoad> &loads) {
  auto sorted = loads;
  std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) {
    return a.OldestMs < b.OldestMs;
  });
  std::vector<TeamId> out;
  out.reserve(sorted.size());
  for (const auto &load : sorted)
    out.push_back(load.Team);
  return out;
}

policy::HeadroomPolicy fixedHeadroom(int64_t slots) {
  return [slots](const policy::UrgentHeadroom &, const policy::PoolLoad &) {
    return slots;
  };
}

// Returns a random run time of at least 10 ms with the given mean. It varies by
// a factor of up to ten either way, before it is scaled to the mean.
int64_t runTime(std::mt19937_64 &rng, double mean_ms) {
  std::uniform_real_distribution<double> exponent(-1, 1);
  const double factor = std::pow(10, exponent(rng));
  // The mean of 10^x for x uniformly distributed from -1 to 1.
  constexpr double MeanFactor = 2.15;
  return std::max<int64_t>(10, int64_t(mean_ms * factor / MeanFactor));
}

int64_t poisson(std::mt19937_64 &rng, double mean) {
  return std::poisson_distribution<int64_t>(mean)(rng);
}

// --- shares

struct ShareTeam {
  TeamId Team;
  int64_t Share;
  double RunMs;
  int64_t Backlog;
};

const std::vector<ShareTeam> ShareTeams = {{TeamId("a"), 1, 400, 400},
                                           {TeamId("b"), 2, 1500, 120},
                                           {TeamId("c"), 5, 800, 60}};

// Returns the largest deviation of a team from its share over windows of ten
// seconds, in percent of the pool.
double worstShareGap(const placer::PoolOptions &options, uint64_t seed) {
  VirtualPool pool(PoolVms, VmSlots, options, seed);
  for (const auto &team : ShareTeams)
    pool.addTeam(team.Team, team.Share);
  pool.start();
  const auto submit = [&](const ShareTeam &team) {
    pool.submit({team.Team, WorkClass::Batch, runTime(pool.rng(), team.RunMs),
                 pool.now()});
  };
  pool.OnEnded = [&](const Work &work) {
    for (const auto &team : ShareTeams)
      if (team.Team == work.Team)
        submit(team);
  };
  for (const auto &team : ShareTeams)
    for (int64_t i = 0; i < team.Backlog; ++i)
      submit(team);
  constexpr int64_t WindowMs = 10000;
  constexpr int64_t WarmUpMs = 20000;
  constexpr int64_t LengthMs = 120000;
  std::map<TeamId, int64_t> held;
  int64_t steps = 0;
  double worst = 0;
  pool.runUntil(BeginMs + LengthMs, [&] {
    if (pool.now() < BeginMs + WarmUpMs)
      return;
    ++steps;
    for (const auto &team : ShareTeams)
      held[team.Team] += pool.slotsHeldBy(team.Team);
    if (pool.now() % WindowMs != 0)
      return;
    constexpr double TotalShares = 8;
    for (const auto &team : ShareTeams) {
      const double fraction =
          double(held[team.Team]) / double(steps * pool.slots());
      worst = std::max(worst,
                       std::abs(fraction - double(team.Share) / TotalShares));
    }
    held.clear();
    steps = 0;
  });
  return worst * 100;
}

// --- urgent work

struct UrgentLoad {
  const char *Name;
  double BatchRunMs;
};

constexpr UrgentLoad UrgentLoads[] = {{"urgent, 4 s", 4000},
                                      {"urgent, 30 s", 30000}};

std::vector<NamedPolicy> urgentPolicies() {
  constexpr std::pair<int64_t, const char *> Fixed[] = {
      {0, "fixed 0"}, {2, "fixed 2"}, {4, "fixed 4"},
      {6, "fixed 6"}, {8, "fixed 8"}, {16, "fixed 16"}};
  std::vector<NamedPolicy> out = {{"following", {}}};
  for (const auto &[n, name] : Fixed) {
    placer::PoolOptions options;
    options.ComputeHeadroom = fixedHeadroom(n);
    out.push_back({name, options});
  }
  return out;
}

struct UrgentResult {
  std::vector<double> StartMs;
  /// Mean number of idle slots while work waits.
  double IdleSlots = 0;
};

UrgentResult runUrgent(const placer::PoolOptions &options, double batch_run_ms,
                       uint64_t seed) {
  VirtualPool pool(PoolVms, VmSlots, options, seed);
  const TeamId urgent("urgent");
  const TeamId batch("batch");
  pool.addTeam(urgent, 1);
  pool.addTeam(batch, 1);
  pool.start();
  UrgentResult out;
  pool.OnEnded = [&](const Work &work) {
    if (work.Class == WorkClass::Urgent)
      out.StartMs.push_back(double(work.StartedMs - work.ArrivedMs));
  };
  constexpr double StepSeconds = 0.01;
  constexpr int64_t LengthMs = 200000;
  constexpr int64_t CycleMs = 20000;
  constexpr double UrgentPerSecond = 20;
  // Batch work alone uses 60 of the 80 slots on average.
  const double batch_per_second = 60 * 1000.0 / batch_run_ms;
  constexpr double UrgentRunMs = 300;
  int64_t idle = 0;
  int64_t steps = 0;
  pool.runUntil(BeginMs + LengthMs, [&] {
    // In the first quarter of each cycle batch work arrives at five times its
    // mean rate, in the last quarter urgent work at twice its mean rate.
    const int64_t cycle_ms = (pool.now() - BeginMs) % CycleMs;
    const double batch_factor =
        cycle_ms < CycleMs / 4 ? 5 : (cycle_ms < CycleMs / 2 ? 0.05 : 1);
    const double urgent_factor = cycle_ms > CycleMs * 3 / 4 ? 2 : 0.5;
    const int64_t batches =
        poisson(pool.rng(), batch_per_second * batch_factor * StepSeconds);
    const int64_t urgents =
        poisson(pool.rng(), UrgentPerSecond * urgent_factor * StepSeconds);
    for (int64_t i = 0; i < batches; ++i)
      pool.submit({batch, WorkClass::Batch, runTime(pool.rng(), batch_run_ms),
                   pool.now()});
    for (int64_t i = 0; i < urgents; ++i)
      pool.submit({urgent, WorkClass::Urgent, runTime(pool.rng(), UrgentRunMs),
                   pool.now()});
    if (pool.waiting() == 0)
      return;
    ++steps;
    idle += pool.slots() - pool.running();
  });
  out.IdleSlots = steps ? double(idle) / double(steps) : 0;
  return out;
}

} // namespace

std::vector<Figure> benchShares(const std::vector<uint64_t> &seeds) {
  placer::PoolOptions fifo;
  fifo.OrderTeams = firstInFirstOut;
  std::vector<Figure> out;
  for (const auto &p :
       {NamedPolicy{"max-min", {}}, NamedPolicy{"fifo", fifo}}) {
    Figure gap{"shares", p.Name, "worst gap to share, 10 s windows",
               "%",      "<=2",  {}};
    for (const uint64_t seed : seeds)
      gap.Values.push_back(worstShareGap(p.Options, seed));
    out.push_back(gap);
  }
  return out;
}

std::vector<Figure> benchUrgent(const std::vector<uint64_t> &seeds) {
  std::vector<Figure> out;
  for (const UrgentLoad &load : UrgentLoads) {
    for (const auto &p : urgentPolicies()) {
      Figure p99{load.Name, p.Name, "start p99", "ms", "<=1200", {}};
      Figure most{load.Name, p.Name, "start most", "ms", "", {}};
      Figure idle{load.Name, p.Name, "slots idle while work waits",
                  "slots",   "",     {}};
      for (const uint64_t seed : seeds) {
        const auto result = runUrgent(p.Options, load.BatchRunMs, seed);
        p99.Values.push_back(percentile(result.StartMs, 0.99));
        most.Values.push_back(percentile(result.StartMs, 1));
        idle.Values.push_back(result.IdleSlots);
      }
      out.insert(out.end(), {p99, most, idle});
    }
  }
  return out;
}

std::vector<Figure> benchBadWorker(const std::vector<uint64_t> &seeds) {
  placer::PoolOptions none;
  none.InitialEjection = {0};
  none.MaxEjection = {0};
  std::vector<Figure> out;
  for (const auto &p :
       {NamedPolicy{"ejection", {}}, NamedPolicy{"no ejection time", none}}) {
    Figure lost{"bad worker", p.Name, "runs that failed", "%", "<1", {}};
    for (const uint64_t seed : seeds) {
      VirtualPool pool(PoolVms, VmSlots, p.Options, seed);
      const TeamId team("t");
      pool.addTeam(team, 1);
      pool.breakVm(3);
      pool.start();
      constexpr double PerSecond = 60;
      constexpr double StepSeconds = 0.01;
      pool.runUntil(BeginMs + 120000, [&] {
        const int64_t n = poisson(pool.rng(), PerSecond * StepSeconds);
        for (int64_t i = 0; i < n; ++i)
          pool.submit(
              {team, WorkClass::Batch, runTime(pool.rng(), 800), pool.now()});
      });
      lost.Values.push_back(100.0 * double(pool.failedRuns()) /
                            double(pool.allRuns()));
    }
    out.push_back(lost);
  }
  return out;
}

std::vector<Figure> benchOverload(const std::vector<uint64_t> &seeds) {
  std::vector<Figure> out;
  for (const int load_factor : {1, 2, 5, 10}) {
    const std::string name = "load x" + std::to_string(load_factor);
    Figure finished{"overload", name, "finished per second", "1/s", "", {}};
    Figure refused{"overload", name, "refused", "%", "", {}};
    for (const uint64_t seed : seeds) {
      VirtualPool pool(PoolVms, VmSlots, {}, seed);
      const TeamId team("t");
      pool.addTeam(team, 1);
      pool.start();
      // 80 slots with a mean run time of 800 ms serve 100 requests per second.
      constexpr double Capacity = 100;
      constexpr int64_t Seconds = 60;
      int64_t submitted = 0;
      pool.runUntil(BeginMs + Seconds * 1000, [&] {
        const int64_t n = poisson(pool.rng(), Capacity * load_factor * 0.01);
        submitted += n;
        for (int64_t i = 0; i < n; ++i)
          pool.submit(
              {team, WorkClass::Batch, runTime(pool.rng(), 800), pool.now()});
      });
      finished.Values.push_back(double(pool.finished()) / double(Seconds));
      refused.Values.push_back(100.0 * double(pool.refused()) /
                               double(submitted));
    }
    out.insert(out.end(), {finished, refused});
  }
  return out;
}

} // namespace almondgate::bench
