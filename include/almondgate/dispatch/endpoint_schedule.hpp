#ifndef ALMONDGATE_DISPATCH_ENDPOINT_SCHEDULE_HPP
#define ALMONDGATE_DISPATCH_ENDPOINT_SCHEDULE_HPP

#include "almondgate/core/size.hpp"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace almondgate::dispatch {

/// When the capacity of one endpoint is expected to come free, and which part
/// of it is taken by tasks that wait for it. Times are in milliseconds from
/// now.
class EndpointSchedule {
public:
  /// `ends` holds, for each run, the time until its end and its capacity.
  EndpointSchedule(core::Size free,
                   std::vector<std::pair<int64_t, core::Size>> ends);

  /// Time until the endpoint has the capacity; empty if it never has.
  std::optional<int64_t> waitFor(const core::Size &need) const;

  /// How many tasks of the size fit at a time, at most `limit`.
  int64_t countAt(int64_t at_ms, const core::Size &need, int64_t limit) const;

  /// The time from which requests can be served.
  int64_t fromMs() const { return FromMs; }

  /// The later times at which capacity comes free.
  const std::vector<std::pair<int64_t, core::Size>> &ends() const {
    return Ends;
  }

  /// Takes the capacity from a time on for a run time. Later requests are
  /// served from that time on only, as tasks are in the order of their rank.
  void take(int64_t at_ms, const core::Size &need, int64_t run_ms);

private:
  /// The time from which Free holds.
  int64_t FromMs = 0;
  core::Size Free;
  /// Later ends, by time.
  std::vector<std::pair<int64_t, core::Size>> Ends;
};

} // namespace almondgate::dispatch

#endif
