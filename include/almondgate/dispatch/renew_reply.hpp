#ifndef ALMONDGATE_DISPATCH_RENEW_REPLY_HPP
#define ALMONDGATE_DISPATCH_RENEW_REPLY_HPP

#include "almondgate/dispatch/orders.hpp"
#include "almondgate/dispatch/run_inventory.hpp"

namespace almondgate::dispatch {

/// An endpoint's answer to a RenewRequest. Inventory is valid only if Result is
/// Accepted.
struct RenewReply {
  OrderResult Result = OrderResult::NoAnswer;
  RunInventory Inventory;

  bool operator==(const RenewReply &) const = default;
};

} // namespace almondgate::dispatch

#endif
