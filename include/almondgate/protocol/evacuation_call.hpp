#ifndef ALMONDGATE_PROTOCOL_EVACUATION_CALL_HPP
#define ALMONDGATE_PROTOCOL_EVACUATION_CALL_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/protocol/method.hpp"
#include "almondgate/protocol/rpc_server.hpp"

#include <functional>
#include <string>

namespace almondgate::protocol {

/// What changeEvacuation() requires of its host.
struct EvacuationCallHooks {
  core::Clock Now;
  /// Runs a function after a delay.
  std::function<void(core::DurationMs, std::function<void()>)> Defer;
  /// Sends a call to the control leader.
  std::function<void(Method, std::string body, Responder)> CallLeader;
  /// False once nobody waits for the outcome any more.
  std::function<bool()> IsWanted;
};

/// Carries out an operator's change of an evacuation: reads the basis from the
/// leader and sends the change with it, and both again if the evacuations or
/// the leader have changed in between, for at most 1 s. Sends nothing once the
/// call is no longer wanted: an operator who has given it up may have sent a
/// newer one. Errors: InvalidArgument, NeverFits; Cancelled if it is no longer
/// wanted; Unavailable, after which the call may be repeated.
void changeEvacuation(const EvacuationCallHooks &hooks,
                      const jobs::EvacuationChange &change,
                      std::function<void(core::Status)> done);

} // namespace almondgate::protocol

#endif
