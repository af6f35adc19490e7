#ifndef ALMONDGATE_MODEL_VM_HPP
#define ALMONDGATE_MODEL_VM_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"

#include <cstdint>
#include <string>

namespace almondgate::model {

/// The phase that an operator or a wave has set for a VM.
enum class VmPhase {
  /// Accepts new requests.
  Active,
  /// Finishes its running requests and accepts no new ones.
  Draining,
  /// Empty and handed over to maintenance.
  Released,
};

/// A VM as recorded in the replicated state.
struct Vm {
  core::VmId Id;
  /// Empty until an operator assigns the VM to a pool.
  core::PoolId Pool;
  core::Address Endpoint;
  core::ZoneId Zone;
  core::RackId Rack;
  /// A new id is generated at each start of the VM's endpoint.
  std::string BootId;
  core::Size Capacity;
  VmPhase Phase = VmPhase::Active;
  /// True once the endpoint has announced that it is about to stop.
  bool Leaving = false;
  /// Revision of the VM's last move between pools; reset to 0 once every owner
  /// has applied that revision. Until then the VM gets no requests.
  uint64_t MovedAt = 0;

  bool operator==(const Vm &) const = default;
};

/// "active", "draining" or "released".
const char *vmPhaseName(VmPhase phase);

} // namespace almondgate::model

#endif
