#ifndef ALMONDGATE_POLICY_WAVE_PLAN_HPP
#define ALMONDGATE_POLICY_WAVE_PLAN_HPP

#include "almondgate/model/demand.hpp"
#include "almondgate/model/view.hpp"

#include <map>
#include <string>
#include <vector>

namespace almondgate::policy {

/// VM statuses reported by placers. The status of a VM without an entry is
/// unknown.
using VmStatuses = std::map<core::VmId, model::VmStatus>;

/// A phase change of a VM that a wave may make now.
struct WaveStep {
  core::WaveId Wave;
  core::VmId Vm;
  model::StepPhase From = model::StepPhase::Waiting;
  model::StepPhase To = model::StepPhase::Draining;

  bool operator==(const WaveStep &) const = default;
};

/// The next steps of a wave, and what blocks the others.
struct WavePlan {
  std::vector<WaveStep> Steps;
  /// For operators: a line for each VM that can't proceed.
  std::vector<std::string> Blockers;

  bool operator==(const WavePlan &) const = default;
};

/// Number of VMs of a pool that are unavailable for any reason: not active,
/// leaving, not healthy, or of unknown status.
int64_t unavailableInPool(const model::View &view, const core::PoolId &pool,
                          const VmStatuses &statuses);

/// Plans the next steps of a wave within the availability budgets.
WavePlan planWave(const model::View &view, const model::Wave &wave,
                  const VmStatuses &statuses);

} // namespace almondgate::policy

#endif
