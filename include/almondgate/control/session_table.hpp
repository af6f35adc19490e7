#ifndef ALMONDGATE_CONTROL_SESSION_TABLE_HPP
#define ALMONDGATE_CONTROL_SESSION_TABLE_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/policy/wave_plan.hpp"

#include <map>
#include <vector>

namespace almondgate::control {

/// A live process, by its heartbeats.
struct Session {
  model::ProcessInfo Process;
  core::TimeMs LastSeenAt;
  /// The revision that the process said it had applied.
  uint64_t Revision = 0;
  bool Stopping = false;
  std::vector<model::Demand> Demands;
  std::vector<model::VmStatus> Vms;

  bool operator==(const Session &) const = default;
};

/// The processes that the control leader has heard lately. Kept in the leader's
/// memory: a new leader waits until every live process has had time to call.
class SessionTable {
public:
  void recordHeartbeat(const model::WatchRequest &request, core::TimeMs now);

  /// Forgets processes not heard since `before`; true when there were any.
  bool expire(core::TimeMs before);

  void clear() { Known.clear(); }

  const Session *find(const core::ProcessId &id) const;
  const std::map<core::ProcessId, Session> &all() const { return Known; }
  std::vector<model::ProcessInfo> processes() const;

  /// What the owners of pools say of their VMs.
  policy::VmStatuses vmStatuses() const;

private:
  std::map<core::ProcessId, Session> Known;
};

} // namespace almondgate::control

#endif
