#ifndef ALMONDGATE_MODEL_VM_HPP
#define ALMONDGATE_MODEL_VM_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"
#include "almondgate/core/size.hpp"

#include <cstdint>
#include <string>

namespace almondgate::model {

/// What the operators or a wave want of a VM.
enum class VmPhase {
  /// Takes new work.
  Active,
  /// Finishes what runs and takes nothing new.
  Draining,
  /// Empty and handed to maintenance.
  Released,
};

/// A worker as the replicated state knows it.
struct Vm {
  core::VmId Id;
  /// Empty until an operator places the VM.
  core::PoolId Pool;
  core::Address Endpoint;
  core::ZoneId Zone;
  core::RackId Rack;
  /// New at each start of the VM's endpoint.
  std::string BootId;
  core::Size Capacity;
  VmPhase Phase = VmPhase::Active;
  /// The endpoint announced that it is about to stop.
  bool Leaving = false;
  /// Revision of its last move between pools, until every owner has applied
  /// that revision; then 0. Takes no work before.
  uint64_t MovedAt = 0;

  bool operator==(const Vm &) const = default;
};

/// "active", "draining" or "released".
const char *vmPhaseName(VmPhase phase);

} // namespace almondgate::model

#endif
