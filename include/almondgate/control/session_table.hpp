#ifndef ALMONDGATE_CONTROL_SESSION_TABLE_HPP
#define ALMONDGATE_CONTROL_SESSION_TABLE_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/model/watch.hpp"
#include "almondgate/policy/wave_plan.hpp"

#include <map>
#include <vector>

namespace almondgate::control {

/// The latest heartbeat of a live process.
struct Session {
  model::ProcessInfo Process;
  /// When the latest heartbeat was received, or answered if that was later. The
  /// process counts its lease from the time when it sent the heartbeat, or from
  /// earlier, so the lease ends at the process first.
  core::TimeMs LastSeenAt;
  /// The revision that the process has applied.
  uint64_t Revision = 0;
  bool Stopping = false;
  std::vector<model::Demand> Demands;
  std::vector<model::VmStatus> Vms;

  bool operator==(const Session &) const = default;
};

/// The processes that have recently sent a heartbeat to the control leader.
/// Kept only in the leader's memory, so a new leader waits until every live
/// process has had time to send one.
class SessionTable {
public:
  void recordHeartbeat(const model::WatchRequest &request, core::TimeMs now);

  /// Removes processes whose last heartbeat is older than `before`; returns
  /// true if there were any.
  bool expire(core::TimeMs before);

  void clear() { ById.clear(); }

  const Session *find(const core::ProcessId &id) const;
  const std::map<core::ProcessId, Session> &all() const { return ById; }
  std::vector<model::ProcessInfo> processes() const;

  /// The VM statuses that placers report.
  policy::VmStatuses vmStatuses() const;

private:
  std::map<core::ProcessId, Session> ById;
};

} // namespace almondgate::control

#endif
