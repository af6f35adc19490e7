#ifndef ALMONDGATE_CONTROL_LEADER_PLAN_HPP
#define ALMONDGATE_CONTROL_LEADER_PLAN_HPP

#include "almondgate/control/session_table.hpp"
#include "almondgate/policy/portion_plan.hpp"
#include "almondgate/state/state.hpp"

#include <string>
#include <vector>

namespace almondgate::control {

/// Pools without a live owner, each given to the placer with the fewest.
std::vector<state::Command> planPoolOwners(const model::View &view,
                                           const SessionTable &sessions);

/// The next steps of all open waves.
std::vector<state::Command> planWaves(const model::View &view,
                                      const SessionTable &sessions);

/// The oldest revision that a pool's owner may still act on. An owner that has
/// not called counts as gone once the leader is `settled`: its lease is over.
uint64_t oldestOwnerRevision(const model::View &view,
                             const SessionTable &sessions, bool settled);

/// Moved VMs whose move every owner has applied.
std::vector<state::Command> planMoveCompletions(const model::View &view,
                                                uint64_t applied);

/// What to do about the portions of all teams.
struct PortionActions {
  std::vector<state::Command> Commands;
  /// To be asked of the pools' owners.
  std::vector<model::Portion> Returns;

  bool operator==(const PortionActions &) const = default;
};

/// Portions grow only once every owner has applied the last shrink of the
/// team's limit, so that none acts on an older and larger one.
PortionActions planTeamPortions(const model::View &view,
                                const SessionTable &sessions, uint64_t applied);

} // namespace almondgate::control

#endif
