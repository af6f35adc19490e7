#ifndef ALMONDGATE_CONTROL_HEARTBEAT_MEMBER_HPP
#define ALMONDGATE_CONTROL_HEARTBEAT_MEMBER_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/jobs/ids.hpp"

#include <optional>
#include <vector>

namespace almondgate::control {

/// Chooses the member that takes an endpoint's heartbeats, by the endpoint's
/// id: each member gets about the same number of endpoints, and a change of
/// `members` moves only the endpoints of the member that came or went. The
/// order of `members` is irrelevant. std::nullopt without members.
std::optional<core::Address>
chooseHeartbeatMember(const jobs::EndpointId &id,
                      const std::vector<core::Address> &members);

} // namespace almondgate::control

#endif
