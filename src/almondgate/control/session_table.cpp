#include "almondgate/control/session_table.hpp"

namespace almondgate::control {

void SessionTable::recordHeartbeat(const model::WatchRequest &request,
                                   core::TimeMs now) {
  Session &session = ById[request.From.Id];
  session.Process = request.From;
  session.LastSeenAt = now;
  session.Revision = request.Revision;
  session.Stopping = session.Stopping || request.Stopping;
  session.Demands = request.Demands;
  session.Vms = request.Vms;
}

bool SessionTable::expire(core::TimeMs before) {
  return std::erase_if(ById, [&](const auto &row) {
           return row.second.LastSeenAt < before;
         }) > 0;
}

const Session *SessionTable::find(const core::ProcessId &id) const {
  const auto it = ById.find(id);
  return it == ById.end() ? nullptr : &it->second;
}

std::vector<model::ProcessInfo> SessionTable::processes() const {
  std::vector<model::ProcessInfo> out;
  for (const auto &[id, session] : ById)
    out.push_back(session.Process);
  return out;
}

policy::VmStatuses SessionTable::vmStatuses() const {
  policy::VmStatuses out;
  for (const auto &[id, session] : ById)
    for (const auto &vm : session.Vms)
      out.insert_or_assign(vm.Vm, vm);
  return out;
}

} // namespace almondgate::control
