#ifndef ALMONDGATE_DISPATCH_DISPATCH_POLICIES_HPP
#define ALMONDGATE_DISPATCH_DISPATCH_POLICIES_HPP

#include "almondgate/policy/job_door.hpp"
#include "almondgate/policy/task_placement.hpp"
#include "almondgate/policy/vm_balance.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace almondgate::dispatch {

/// The decisions of a Dispatcher; tests and benches put baselines here.
struct DispatchPolicies {
  std::function<policy::DoorVerdict(const policy::DoorInput &)> Admission =
      policy::judgeAtDoor;
  std::function<std::vector<policy::MoveWish>(std::vector<policy::PoolBalance>,
                                              const policy::MoveRules &)>
      PlanMoves = policy::planMoves;
  std::function<std::optional<size_t>(
      const std::vector<policy::PlacementOption> &,
      const policy::PlacementNeed &)>
      ChooseEndpoint = policy::choosePlace;
  /// Judge a job that comes back by when it was first sent.
  bool TrackResubmissions = true;
  /// Expect run times by what ran before, not by estimates alone.
  bool LearnRunTimes = true;
};

} // namespace almondgate::dispatch

#endif
