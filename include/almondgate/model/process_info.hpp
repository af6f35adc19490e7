#ifndef ALMONDGATE_MODEL_PROCESS_INFO_HPP
#define ALMONDGATE_MODEL_PROCESS_INFO_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/id.hpp"

namespace almondgate::model {

/// What a process of the system is for.
enum class Role { Entry, Placer, Control };

/// A process of the system and where its inner protocol is served.
struct ProcessInfo {
  /// New at each start.
  core::ProcessId Id;
  Role Kind = Role::Entry;
  core::Address Inner;
  core::ZoneId Zone;

  bool operator==(const ProcessInfo &) const = default;
};

} // namespace almondgate::model

#endif
