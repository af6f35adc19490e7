#ifndef ALMONDGATE_CONTROL_LEADER_DUTIES_HPP
#define ALMONDGATE_CONTROL_LEADER_DUTIES_HPP

#include "almondgate/control/sessions.hpp"
#include "almondgate/policy/portion_plan.hpp"
#include "almondgate/state/state.hpp"

#include <string>
#include <vector>

namespace almondgate::control {

/// Pools without a live owner, each given to the placer with the fewest.
std::vector<state::Command> planOwners(const model::View &view,
                                       const Sessions &sessions);

/// The next steps of all open waves.
std::vector<state::Command> planWaves(const model::View &view,
                                      const Sessions &sessions);

/// The oldest revision that a pool's owner may still act on. An owner that has
/// not called counts as gone once the leader is `settled`: its lease is over.
uint64_t appliedByOwners(const model::View &view, const Sessions &sessions,
                         bool settled);

/// Moved VMs whose move every owner has applied.
std::vector<state::Command> planSettling(const model::View &view,
                                         uint64_t applied);

/// What to do about the portions of all teams.
struct PortionDuties {
  std::vector<state::Command> Commands;
  /// To be asked of the pools' owners.
  std::vector<model::Portion> Returns;

  bool operator==(const PortionDuties &) const = default;
};

/// Portions grow only once every owner has applied the last shrink of the
/// team's limit, so that none acts on an older and larger one.
PortionDuties planAllPortions(const model::View &view, const Sessions &sessions,
                              uint64_t applied);

} // namespace almondgate::control

#endif
