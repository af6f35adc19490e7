#include "almondgate/dispatch/endpoint_schedule.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::Size;

namespace {

bool isEarlier(const std::pair<int64_t, Size> &a,
               const std::pair<int64_t, Size> &b) {
  return a.first < b.first;
}

} // namespace

EndpointSchedule::EndpointSchedule(Size free,
                                   std::vector<std::pair<int64_t, Size>> ends)
    : Free(free), Ends(std::move(ends)) {
  std::sort(Ends.begin(), Ends.end(), isEarlier);
}

std::optional<int64_t> EndpointSchedule::waitFor(const Size &need) const {
  Size free = Free;
  if (core::fits(need, free))
    return FromMs;
  for (const auto &[at_ms, size] : Ends) {
    free = free + size;
    if (core::fits(need, free))
      return std::max(FromMs, at_ms);
  }
  return std::nullopt;
}

int64_t EndpointSchedule::countAt(int64_t at_ms, const Size &need,
                                  int64_t limit) const {
  if (at_ms < FromMs)
    return 0;
  Size free = Free;
  for (const auto &[end_ms, size] : Ends) {
    if (end_ms > at_ms)
      break;
    free = free + size;
  }
  int64_t count = 0;
  for (; count < limit && core::fits(need, free); ++count)
    free = free - need;
  return count;
}

void EndpointSchedule::take(int64_t at_ms, const Size &need, int64_t run_ms) {
  FromMs = std::max(FromMs, at_ms);
  auto next = Ends.begin();
  for (; next != Ends.end() && next->first <= FromMs; ++next)
    Free = Free + next->second;
  Ends.erase(Ends.begin(), next);
  Free = Free - need;
  const std::pair<int64_t, Size> end{FromMs + run_ms, need};
  Ends.insert(std::upper_bound(Ends.begin(), Ends.end(), end, isEarlier), end);
}

} // namespace almondgate::dispatch
