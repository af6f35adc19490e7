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

/// What to do about the portions of all teams.
struct PortionDuties {
  std::vector<state::Command> Commands;
  /// To be asked of the pools' owners.
  std::vector<model::Portion> Returns;

  bool operator==(const PortionDuties &) const = default;
};

/// Portions grow only once every placer has applied the last shrink of the
/// team's limit, so that none acts on an older and larger one.
PortionDuties planAllPortions(const model::View &view,
                              const Sessions &sessions);

} // namespace almondgate::control

#endif
