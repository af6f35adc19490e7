#ifndef ALMONDGATE_CONFIG_SETTINGS_HPP
#define ALMONDGATE_CONFIG_SETTINGS_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/id.hpp"
#include "almondgate/observe/log.hpp"

#include <map>
#include <string>
#include <vector>

namespace almondgate::config {

/// Settings that every process has.
struct CommonSettings {
  std::string Secret;
  core::Address Inner;
  core::Address StatusAddress;
  core::ZoneId Zone;
  std::vector<core::Address> Control;
  observe::LogFormat Format = observe::LogFormat::Text;
  std::string LogLevel = "info";
  /// How long a stopping process goes on after it has said so.
  core::DurationMs StopDelay{1000};

  bool operator==(const CommonSettings &) const = default;
};

/// Settings of almondgate-entry.
struct EntrySettings {
  CommonSettings Common;
  core::Address Public;
  /// SHA-256 of each operator's key, in hexadecimal.
  std::map<std::string, core::OperatorId> OperatorKeys;
  core::DurationMs FreshFor{3000};

  bool operator==(const EntrySettings &) const = default;
};

/// Settings of almondgate-placer.
struct PlacerSettings {
  CommonSettings Common;

  bool operator==(const PlacerSettings &) const = default;
};

/// Settings of almondgate-control.
struct ControlSettings {
  CommonSettings Common;
  std::string DataFolder;
  /// Name of the member to format the data folder for; empty where the folder
  /// is formatted already or the member joins.
  std::string InitAs;
  /// The first members, by name; only with InitAs.
  std::vector<std::pair<std::string, core::Address>> FirstMembers;
  /// Where endpoints and operators are served; may be left out.
  core::Address Public;
  /// An empty data folder is formatted as one of the first members, which are
  /// those of Common.Control.
  bool Found = false;
  /// Members that may lose their disks at once; the leader keeps twice as many
  /// voters and one. Negative where members are only replaced by operators.
  int64_t ToleratedLosses = -1;
  /// The VM service, and the placement policy service; may be left out.
  core::Address VmService;
  core::Address AdviceService;
  std::string Name;

  bool operator==(const ControlSettings &) const = default;
};

} // namespace almondgate::config

#endif
