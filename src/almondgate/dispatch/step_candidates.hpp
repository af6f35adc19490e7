#ifndef ALMONDGATE_SRC_DISPATCH_STEP_CANDIDATES_HPP
#define ALMONDGATE_SRC_DISPATCH_STEP_CANDIDATES_HPP

#include "almondgate/dispatch/dispatch_policies.hpp"
#include "almondgate/dispatch/endpoint_view.hpp"
#include "almondgate/jobs/step_spec.hpp"

namespace almondgate::dispatch {

/// The endpoints that may take tasks of one step, kept up to date while its
/// tasks are placed one after the other.
class StepCandidates {
public:
  using ChooseEndpoint = decltype(DispatchPolicies::ChooseEndpoint);

  /// The step must outlive the candidates.
  explicit StepCandidates(const jobs::StepSpec &step);

  /// The tasks wait for the rack near their data rather than run elsewhere.
  void setWaitForData(bool wait);

  /// Whether tasks of the step that run already matter for the others.
  bool dependsOnSameStep() const {
    return Step->AntiAffinity > 0 || Step->LongRunning;
  }

  /// A task of the step runs there; told before the endpoints are offered.
  void recordRunningTask(const EndpointView &endpoint);

  /// Adds the endpoint if it may take a task now.
  void addIfEligible(EndpointView &endpoint);

  /// Chooses an endpoint for one task and counts it there; nothing where none
  /// has room.
  EndpointView *allocate(const ChooseEndpoint &choose);

private:
  const jobs::StepSpec *Step;
  policy::PlacementNeed Need;
  std::map<jobs::EndpointId, int64_t> Running;
  std::map<core::RackId, int64_t> RunningOnRack;
  std::vector<EndpointView *> Endpoints;
  std::vector<policy::PlacementOption> Options;
};

} // namespace almondgate::dispatch

#endif
