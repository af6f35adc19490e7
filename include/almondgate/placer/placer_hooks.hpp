#ifndef ALMONDGATE_PLACER_PLACER_HOOKS_HPP
#define ALMONDGATE_PLACER_PLACER_HOOKS_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/inventory.hpp"
#include "almondgate/observe/log.hpp"
#include "almondgate/state/change.hpp"
#include "almondgate/state/change_result.hpp"

#include <functional>

namespace almondgate::placer {

/// Callbacks through which a PlacerCore reads the clock and performs I/O.
struct PlacerHooks {
  using OnInventory = std::function<void(core::Result<model::Inventory>)>;

  core::Clock Now;
  /// Requests the inventory of a pool's runs from an entry.
  std::function<void(const core::Address &, const model::InventoryRequest &,
                     OnInventory)>
      RequestInventory;
  using OnChange = std::function<void(core::Result<state::ChangeResult>)>;
  /// Proposes a change to the control leader. After an error it may or may not
  /// be applied.
  std::function<void(const state::Change &, OnChange)> Propose;
  /// A team needs a larger portion; demands should be sent to the control
  /// leader without delay.
  std::function<void()> DemandChanged;
  observe::LogLine Log;
};

} // namespace almondgate::placer

#endif
