#ifndef ALMONDGATE_DISPATCH_VM_LISTING_HPP
#define ALMONDGATE_DISPATCH_VM_LISTING_HPP

#include "almondgate/core/id.hpp"
#include "almondgate/jobs/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// A VM's state as the VM service reports it.
enum class VmState { Up, Moving, Maintenance, Down };

/// One VM in the VM service's list.
struct VmListing {
  core::VmId Id;
  core::PoolId Pool;
  VmState State = VmState::Up;
  core::RackId Rack;
  /// Empty while nothing runs on the VM.
  jobs::EndpointId Endpoint;
  /// Empty if the VM service does not list it.
  core::ZoneId Zone;

  bool operator==(const VmListing &) const = default;
};

/// Order to the VM service to take a VM down for maintenance, or to move it to
/// another pool.
struct VmOrder {
  core::VmId Vm;
  /// Target pool of a move; empty for maintenance.
  core::PoolId To;
  /// Wave that the maintenance belongs to; not used for a move.
  int64_t Wave = 0;
  std::string Holder;
  uint64_t Epoch = 0;

  bool operator==(const VmOrder &) const = default;
};

/// Outcome of an order to the VM service.
enum class VmOrderResult {
  Accepted,
  Fenced,
  /// The VM is not up, or is leaving.
  Busy,
  /// The VM is not part of that wave, or may not join that pool.
  Refused,
  /// Too many calls; nothing was done.
  Throttled,
  /// Not sent: the VM's runs may not be ended now.
  Withheld,
  NoAnswer,
};

/// Why an order with the result Fenced, Throttled or NoAnswer is not confirmed,
/// for the log.
const char *unconfirmedReason(VmOrderResult result);

} // namespace almondgate::dispatch

#endif
