#ifndef ALMONDGATE_POLICY_WAVE_PLAN_HPP
#define ALMONDGATE_POLICY_WAVE_PLAN_HPP

#include "almondgate/model/demand.hpp"
#include "almondgate/model/view.hpp"

#include <map>
#include <string>
#include <vector>

namespace almondgate::policy {

/// What the placers report of the VMs; a VM that is missing is not known.
using VmStatuses = std::map<core::VmId, model::VmStatus>;

/// A step that a wave may take now.
struct WaveStep {
  core::WaveId Wave;
  core::VmId Vm;
  model::StepPhase From = model::StepPhase::Waiting;
  model::StepPhase To = model::StepPhase::Draining;

  bool operator==(const WaveStep &) const = default;
};

/// What a wave does next, and what holds it up.
struct WavePlan {
  std::vector<WaveStep> Steps;
  std::vector<std::string> Blockers;

  bool operator==(const WavePlan &) const = default;
};

/// VMs of a pool that are out for whatever cause: not active, leaving, not
/// healthy, or not known.
int64_t unavailableInPool(const model::View &view, const core::PoolId &pool,
                          const VmStatuses &statuses);

/// Plans the next steps of a wave within the availability budgets.
WavePlan planWave(const model::View &view, const model::Wave &wave,
                  const VmStatuses &statuses);

} // namespace almondgate::policy

#endif
