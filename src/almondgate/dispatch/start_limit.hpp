#ifndef ALMONDGATE_SRC_DISPATCH_START_LIMIT_HPP
#define ALMONDGATE_SRC_DISPATCH_START_LIMIT_HPP

#include "almondgate/dispatch/dispatcher.hpp"

namespace almondgate::dispatch {

/// Where a task may start while orders for earlier runs may be carried out.
struct Dispatcher::StartLimit {
  bool Anywhere = true;
  /// The only endpoint where it may start; if null, it has to wait.
  EndpointView *Only = nullptr;

  bool operator==(const StartLimit &) const = default;
};

} // namespace almondgate::dispatch

#endif
