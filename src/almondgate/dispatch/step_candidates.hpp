#ifndef ALMONDGATE_SRC_DISPATCH_STEP_CANDIDATES_HPP
#define ALMONDGATE_SRC_DISPATCH_STEP_CANDIDATES_HPP

#include "almondgate/dispatch/dispatch_policies.hpp"
#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::dispatch {

/// Tells whether the endpoint has the label; any endpoint has the empty one.
bool hasLabel(const EndpointView &endpoint, const std::string &label);

/// The endpoints that may run tasks of one step, kept up to date while the
/// tasks are placed one by one.
class StepCandidates {
public:
  using ChooseEndpoint = decltype(DispatchPolicies::ChooseEndpoint);

  /// `step` must outlive the object.
  explicit StepCandidates(const jobs::StepSpec &step);

  /// Tells whether the placement depends on tasks of the step that are placed
  /// already.
  bool dependsOnSameStep() const {
    return Step->AntiAffinity > 0 || Step->LongRunning;
  }

  /// Records that a task of the step is placed at the endpoint. To be called
  /// before addIfEligible().
  void recordRunningTask(const EndpointView &endpoint);

  /// Adds the endpoint if it can run a task now.
  void addIfEligible(EndpointView &endpoint);

  /// Chooses an endpoint for one task and counts the task there. Returns null
  /// if none has capacity.
  EndpointView *allocate(const ChooseEndpoint &choose);

private:
  /// The capacity that the endpoint has free for tasks of the step.
  core::Size freeFor(const EndpointView &endpoint) const;

  const jobs::StepSpec *Step;
  policy::PlacementRequirements Need;
  std::map<jobs::EndpointId, int64_t> Running;
  std::map<core::RackId, int64_t> RunningOnRack;
  std::vector<EndpointView *> Endpoints;
  std::vector<policy::PlacementOption> Options;
};

} // namespace almondgate::dispatch

#endif
