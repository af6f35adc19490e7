#ifndef ALMONDGATE_BENCH_SCENARIOS_HPP
#define ALMONDGATE_BENCH_SCENARIOS_HPP

#include "report.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::bench {

/// Three teams of unequal share, all with more work than the pool holds.
std::vector<Figure> benchShares(const std::vector<uint64_t> &seeds);

/// Urgent work beside batch work that bursts to five times its mean.
std::vector<Figure> benchUrgent(const std::vector<uint64_t> &seeds);

/// One worker that fails everything it starts.
std::vector<Figure> benchBadWorker(const std::vector<uint64_t> &seeds);

/// How soon a bad worker is found by three ways of counting failures.
std::vector<Figure> benchDetectors(const std::vector<uint64_t> &seeds);

/// Work done as the offered load grows to ten times what the pool holds.
std::vector<Figure> benchOverload(const std::vector<uint64_t> &seeds);

/// Attempts for each request while every endpoint fails.
std::vector<Figure> benchRetries(const std::vector<uint64_t> &seeds);

/// Reboot waves over the five pools of today.
std::vector<Figure> benchWaves(const std::vector<uint64_t> &seeds);

} // namespace almondgate::bench

#endif
