#ifndef ALMONDGATE_MODEL_INVENTORY_HPP
#define ALMONDGATE_MODEL_INVENTORY_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/model/work_class.hpp"

#include <cstdint>
#include <vector>

namespace almondgate::model {

/// A new pool owner's query for the grants that an entry has in use. After
/// receiving it, the entry refuses grants of an older epoch.
struct InventoryRequest {
  core::PoolId Pool;
  uint64_t Epoch = 0;

  bool operator==(const InventoryRequest &) const = default;
};

/// One grant in use.
struct InventoryItem {
  core::RequestId Id;
  core::TeamId Team;
  core::QueueId Queue;
  core::VmId Vm;
  core::Size Need;
  WorkClass Class = WorkClass::Batch;

  bool operator==(const InventoryItem &) const = default;
};

/// The grants that one entry has in use on a pool.
struct Inventory {
  core::ProcessId Entry;
  core::PoolId Pool;
  std::vector<InventoryItem> Items;

  bool operator==(const Inventory &) const = default;
};

} // namespace almondgate::model

#endif
