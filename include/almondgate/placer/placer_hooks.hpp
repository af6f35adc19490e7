#ifndef ALMONDGATE_PLACER_PLACER_HOOKS_HPP
#define ALMONDGATE_PLACER_PLACER_HOOKS_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/inventory.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/state/change.hpp"

#include <functional>

namespace almondgate::placer {

/// What the core asks of the world around it.
struct PlacerHooks {
  using OnInventory = std::function<void(core::Result<model::Inventory>)>;

  core::Clock Now;
  /// Asks an entry what it runs on a pool.
  std::function<void(const core::Address &, const model::InventoryRequest &,
                     OnInventory)>
      RequestInventory;
  /// Hands a change to the control leader.
  std::function<void(const state::Change &)> Propose;
  /// Demand has changed so that the control leader should hear of it now.
  std::function<void()> DemandChanged;
  observe::LogLine Log;
};

} // namespace almondgate::placer

#endif
