#include "almondgate/policy/remote_share.hpp"

#include <cmath>

namespace almondgate::policy {

namespace {

// As in DurationModel, so that both give the same weight to old runs.
constexpr double MaxObserved = 400;
constexpr double Decay = 0.5;

} // namespace

void RemoteShare::observe(bool remote) {
  if (Observed >= MaxObserved) {
    Observed *= Decay;
    Remote *= Decay;
  }
  Observed += 1;
  Remote += remote ? 1 : 0;
}

int64_t RemoteShare::nearRunMs(int64_t mean_ms, double remote_factor) const {
  const double share = Observed > 0 ? Remote / Observed : 0;
  return std::llround(double(mean_ms) / (1 + (remote_factor - 1) * share));
}

} // namespace almondgate::policy
