#ifndef ALMONDGATE_DISPATCH_DISPATCH_POLICIES_HPP
#define ALMONDGATE_DISPATCH_DISPATCH_POLICIES_HPP

#include "almondgate/policy/cold_start.hpp"
#include "almondgate/policy/job_admission.hpp"
#include "almondgate/policy/loop_delay.hpp"
#include "almondgate/policy/near_wait.hpp"
#include "almondgate/policy/task_placement.hpp"
#include "almondgate/policy/vm_balance.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace almondgate::dispatch {

/// The replaceable decisions of a Dispatcher; tests and benchmarks substitute
/// baselines.
struct DispatchPolicies {
  /// Accepts or refuses a submitted job.
  std::function<policy::JobAdmissionDecision(const policy::JobAdmissionInput &)>
      Admission = policy::decideJobAdmission;
  /// Refuses new jobs while the event loop is behind by this much.
  std::function<policy::JobAdmissionDecision(core::DurationMs)> Overload =
      policy::decideOverload;
  /// Chooses the VM moves between pools.
  std::function<std::vector<policy::PlannedMove>(
      std::vector<policy::PoolBalance>, const policy::MoveOptions &)>
      PlanMoves = policy::planMoves;
  /// Chooses the endpoint of a task, as an index into the options.
  std::function<std::optional<size_t>(
      const std::vector<policy::PlacementOption> &,
      const policy::PlacementRequirements &)>
      ChooseEndpoint = policy::choosePlacement;
  /// The part of a cold endpoint's capacity that may be used.
  std::function<policy::ColdStartDecision(const policy::ColdStartInput &)>
      ColdStart = policy::decideColdStart;
  /// Whether a task, or a gang, waits for a nearby place.
  std::function<policy::NearWaitDecision(const policy::NearWaitInput &)>
      NearWait = policy::decideNearWait;
  /// Measure a resubmitted job's waiting time from its first submission.
  bool TrackResubmissions = true;
  /// Correct the submitters' run time estimates by observed run times.
  bool LearnRunTimes = true;
};

} // namespace almondgate::dispatch

#endif
