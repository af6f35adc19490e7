#ifndef ALMONDGATE_POLICY_REMOTE_SHARE_HPP
#define ALMONDGATE_POLICY_REMOTE_SHARE_HPP

#include <cstdint>

namespace almondgate::policy {

/// The share of a queue's observed runs that ran away from their preferred
/// rack. A DurationModel predicts the mean of both kinds of runs; with this
/// share, the run time near follows from it.
class RemoteShare {
public:
  /// Adds a run that DurationModel observed.
  void observe(bool remote);

  /// The run time near, in milliseconds, of a task that is predicted to run
  /// for `mean_ms`, where runs elsewhere take `remote_factor` times as long.
  int64_t nearRunMs(int64_t mean_ms, double remote_factor) const;

private:
  double Observed = 0;
  double Remote = 0;
};

} // namespace almondgate::policy

#endif
