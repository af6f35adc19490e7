#ifndef ALMONDGATE_PROTOCOL_BODY_CLASS_HPP
#define ALMONDGATE_PROTOCOL_BODY_CLASS_HPP

#include "almondgate/protocol/method.hpp"

#include "peer_budget.hpp"

namespace almondgate::protocol {

/// What a call or reply costs beside its body: its stream and its callbacks.
inline constexpr size_t CallOverheadBytes = 1024;

/// The class of a call or reply with a body of `n` bytes. Small bodies of the
/// methods that keep leases and leadership are urgent.
inline BodyClass classOf(Method method, size_t n) {
  constexpr size_t MaxUrgentBytes = size_t{64} * 1024;
  const bool keeps_lease = method == Method::Consensus ||
                           method == Method::Watch ||
                           method == Method::RenewRuns;
  return keeps_lease && n <= MaxUrgentBytes ? BodyClass::Urgent
                                            : BodyClass::Bulk;
}

} // namespace almondgate::protocol

#endif
