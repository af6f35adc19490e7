#ifndef ALMONDGATE_DISPATCH_VM_LISTING_HPP
#define ALMONDGATE_DISPATCH_VM_LISTING_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// What the VM service says of a VM.
enum class VmState { Up, Moving, Maintenance, Down };

/// One VM in the VM service's list.
struct VmListing {
  core::VmId Id;
  core::PoolId Pool;
  VmState State = VmState::Up;
  core::RackId Rack;
  /// Empty while nothing runs on the VM.
  jobs::EndpointId Endpoint;

  bool operator==(const VmListing &) const = default;
};

/// Asks the VM service for a VM's upkeep, or to move it to another pool.
struct VmOrder {
  core::VmId Vm;
  /// For a move; empty for upkeep.
  core::PoolId To;
  /// For upkeep.
  int64_t Wave = 0;
  std::string Holder;
  uint64_t Epoch = 0;

  bool operator==(const VmOrder &) const = default;
};

/// How the VM service took an order.
enum class VmOrderResult {
  Accepted,
  Fenced,
  /// The VM is not up, or leaves.
  Busy,
  /// The VM is not of that wave, or may not join that pool.
  Refused,
  /// Too many calls; nothing was done.
  Throttled,
  /// Not sent: what the VM runs may not be ended now.
  Withheld,
  NoAnswer,
};

} // namespace almondgate::dispatch

#endif
