#ifndef ALMONDGATE_CONTROL_LEADER_PLAN_HPP
#define ALMONDGATE_CONTROL_LEADER_PLAN_HPP

#include "almondgate/control/session_table.hpp"
#include "almondgate/policy/portion_plan.hpp"
#include "almondgate/state/state.hpp"

#include <string>
#include <vector>

namespace almondgate::control {

/// Assigns each pool without a live owner to the placer with the fewest pools.
std::vector<state::Command> planPoolOwners(const model::View &view,
                                           const SessionTable &sessions);

/// Plans the next steps of all running or paused waves.
std::vector<state::Command> planWaves(const model::View &view,
                                      const SessionTable &sessions);

/// The oldest revision that a pool's owner may still act on. An owner without a
/// session holds no lease if `sessions_complete`; otherwise it may hold one,
/// and the result is 0. Sessions are complete once the leader has led for
/// longer than ControlOptions::LeaseTtl plus LeaseMargin.
uint64_t oldestOwnerRevision(const model::View &view,
                             const SessionTable &sessions,
                             bool sessions_complete);

/// Completes the moves of VMs that every owner has applied, given the oldest
/// revision that an owner has applied.
std::vector<state::Command> planMoveCompletions(const model::View &view,
                                                uint64_t applied);

/// Changes to the portions of all teams.
struct PortionActions {
  std::vector<state::Command> Commands;
  /// Portions that the pools' owners are to return.
  std::vector<model::Portion> Returns;

  bool operator==(const PortionActions &) const = default;
};

/// Plans the portions of all teams. A portion grows only after every owner has
/// applied the latest reduction of the team's limit, so that no owner still
/// acts on the larger limit. `applied` is the oldest revision that an owner has
/// applied.
PortionActions planTeamPortions(const model::View &view,
                                const SessionTable &sessions, uint64_t applied);

} // namespace almondgate::control

#endif
