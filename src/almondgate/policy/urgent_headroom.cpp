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

int64_t UrgentHeadroom::slots(const PoolLoad &load) const {
  const double run_ms = double(std::max<int64_t>(1, load.MeanRun.Count));
  const double freed =
      double(load.Running) * double(BucketLength.Count) / run_ms;
  const auto wanted = int64_t(std::ceil(peakAt(load.Now) - freed));
  return std::clamp<int64_t>(wanted, 0, load.Slots / 2);
}

int64_t followingHeadroom(const UrgentHeadroom &urgent, const PoolLoad &load) {
  return urgent.slots(load);
}

} // namespace almondgate::policy
