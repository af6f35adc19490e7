#ifndef ALMONDGATE_CONFIG_SETTINGS_HPP
#define ALMONDGATE_CONFIG_SETTINGS_HPP

#include "almondgate/core/address.hpp"
#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/id.hpp"
#include "almondgate/core/memory_plan.hpp"
#include "almondgate/observe/log.hpp"

#include <map>
#include <string>
#include <vector>

namespace almondgate::config {

/// Settings common to all processes.
struct CommonSettings {
  std::string Secret;
  /// Address at which the inner protocol is served.
  core::Address Inner;
  /// Address at which metrics and health checks are served.
  core::Address StatusAddress;
  core::ZoneId Zone;
  /// Addresses of the control members.
  std::vector<core::Address> Control;
  observe::LogFormat Format = observe::LogFormat::Text;
  std::string LogLevel = "info";
  /// How long a stopping process continues to serve after it has reported that
  /// it is stopping.
  core::DurationMs StopDelay{1000};
  /// What the process may hold for others, by the memory limit of its VM.
  core::MemoryPlan Memory = core::planMemory(0);

  bool operator==(const CommonSettings &) const = default;
};

/// Settings of almondgate-entry.
struct EntrySettings {
  CommonSettings Common;
  core::Address Public;
  /// Operators by the SHA-256 of their key, in hexadecimal.
  std::map<std::string, core::OperatorId> OperatorKeys;
  /// How long the last contact with the control members counts as fresh; after
  /// that, new work is refused.
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
  /// Name of the member to format the data folder for; empty if the folder is
  /// already formatted or the member joins an existing group.
  std::string InitAs;
  /// Names and addresses of the first members; only with InitAs.
  std::vector<std::pair<std::string, core::Address>> FirstMembers;
  /// Address at which endpoints and operators are served; optional.
  core::Address Public;
  /// True to format an empty data folder as one of the first members, which are
  /// those of Common.Control.
  bool BootstrapCluster = false;
  /// Number n of members that may lose their disks at once; the leader keeps
  /// 2 n + 1 voters. Negative if only operators replace members.
  int64_t ToleratedLosses = -1;
  /// The longest that an endpoint takes to end a run after a stop order.
  core::DurationMs RunStopTimeout{1000};
  /// Longest lease that an endpoint accepts, whatever is requested.
  core::DurationMs LongestLease{6000};
  /// How many times as long a task takes away from the rack of its data, or a
  /// gang on several racks; at least 1.
  double RemoteFactor = 2.0;
  /// Address of the VM service; optional.
  core::Address VmService;
  /// Address of the placement policy service; optional.
  core::Address AdviceService;
  /// Name of this process in the orders that it sends.
  std::string Name;

  bool operator==(const ControlSettings &) const = default;
};

} // namespace almondgate::config

#endif
