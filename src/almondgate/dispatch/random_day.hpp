#ifndef ALMONDGATE_SRC_DISPATCH_RANDOM_DAY_HPP
#define ALMONDGATE_SRC_DISPATCH_RANDOM_DAY_HPP

#include "almondgate/jobs/ledger.hpp"

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// Returns the seeds to play: those that the environment variable names as
/// FIRST-LAST or as a single one, by default 1 to `last`.
inline std::vector<uint64_t> seedsToPlay(const char *variable, uint64_t last) {
  uint64_t first = 1;
  if (const char *text = std::getenv(variable)) {
    char *end = nullptr;
    first = std::strtoull(text, &end, 10);
    last = *end == '-' ? std::strtoull(end + 1, nullptr, 10) : first;
  }
  std::vector<uint64_t> out;
  for (uint64_t seed = first; seed <= last; ++seed)
    out.push_back(seed);
  return out;
}

/// Leaves out actions of a day for as long as it still breaks something.
template <class Action>
std::vector<Action>
shorten(std::vector<Action> day,
        const std::function<bool(const std::vector<Action> &)> &is_broken) {
  for (size_t i = day.size(); i-- > 0;) {
    auto shorter = day;
    shorter.erase(shorter.begin() + int64_t(i));
    if (is_broken(shorter))
      day = shorter;
  }
  return day;
}

/// Appends what is wrong with the jobs at the end of a day on which no job may
/// fail and all faults are over: long-running ones stay open.
inline void checkJobs(const jobs::Ledger &ledger,
                      std::vector<std::string> &out) {
  for (const auto &[id, job] : ledger.Jobs) {
    const bool lasts = job.Spec->Steps.at(0).LongRunning;
    if (job.Failed)
      out.push_back("job " + id.str() + " failed without cause");
    if (job.isOpen() && !lasts)
      out.push_back("job " + id.str() + " has not ended");
  }
}

} // namespace almondgate::dispatch

#endif
