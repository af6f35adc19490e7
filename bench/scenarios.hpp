#ifndef ALMONDGATE_BENCH_SCENARIOS_HPP
#define ALMONDGATE_BENCH_SCENARIOS_HPP

#include "report.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::bench {

/// The largest deviation of three teams from their unequal shares, while each
/// has more work than the pool can run.
std::vector<Figure> benchShares(const std::vector<uint64_t> &seeds);

/// The time until urgent work starts, and idle slots, while batch work bursts
/// to five times its mean rate.
std::vector<Figure> benchUrgent(const std::vector<uint64_t> &seeds);

/// Failed runs in a pool with one worker that fails all its runs.
std::vector<Figure> benchBadWorker(const std::vector<uint64_t> &seeds);

/// Runs lost until a failing worker is ejected, and healthy workers wrongly
/// ejected, by the placer's rule and three other ways of counting failures.
std::vector<Figure> benchDetectors(const std::vector<uint64_t> &seeds);

/// Completed and refused work as the offered load grows to ten times the
/// capacity of the pool.
std::vector<Figure> benchOverload(const std::vector<uint64_t> &seeds);

/// Attempts per request while every endpoint fails, with and without a retry
/// budget.
std::vector<Figure> benchRetries(const std::vector<uint64_t> &seeds);

/// Duration of a reboot wave over five pools, the size of the current fleet,
/// and the VMs unavailable beyond the budget.
std::vector<Figure> benchWaves(const std::vector<uint64_t> &seeds);

} // namespace almondgate::bench

#endif
