#ifndef ALMONDGATE_MODEL_PROCESS_INFO_HPP
#define ALMONDGATE_MODEL_PROCESS_INFO_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"

namespace almondgate::model {

/// The program that a process runs.
enum class Role { Entry, Placer, Control };

/// A process and the address at which it serves the inner protocol.
struct ProcessInfo {
  /// A new id is generated at each start.
  core::ProcessId Id;
  Role Kind = Role::Entry;
  core::Address Inner;
  core::ZoneId Zone;

  bool operator==(const ProcessInfo &) const = default;
};

} // namespace almondgate::model

#endif
