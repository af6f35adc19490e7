#include "almondgate/policy/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>

namespace almondgate::policy {

namespace {

constexpr core::DurationMs BucketLength{1000};
constexpr core::DurationMs PeakHalfLife{10000};

} // namespace

double UrgentHeadroom::peakAt(core::TimeMs now) const {
  const double halves =
      double((now - PeakAt).Count) / double(PeakHalfLife.Count);
  return std::max(double(InBucket), Peak * std::exp2(-halves));
}

UrgentHeadroom UrgentHeadroom::withArrival(core::TimeMs now) const {
  UrgentHeadroom out = *this;
  if (now - BucketStart >= BucketLength) {
    out.Peak = peakAt(now);
    out.PeakAt = now;
    out.BucketStart = now;
    out.InBucket = 0;
  }
  ++out.InBucket;
  return out;
}

int64_t UrgentHeadroom::slots(core::TimeMs now, int64_t running,
                              core::DurationMs mean_run,
                              int64_t all_slots) const {
  const double run_ms = double(std::max<int64_t>(1, mean_run.Count));
  const double freed = double(running) * double(BucketLength.Count) / run_ms;
  const auto wanted = int64_t(std::ceil(peakAt(now) - freed));
  return std::clamp<int64_t>(wanted, 0, all_slots / 2);
}

} // namespace almondgate::policy
