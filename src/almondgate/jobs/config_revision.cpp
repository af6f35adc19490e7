#include "almondgate/jobs/config_revision.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace almondgate::jobs {

namespace {

std::map<core::QueueId, const QueueSpec *> byId(const FleetConfig &config) {
  std::map<core::QueueId, const QueueSpec *> out;
  for (const auto &queue : config.Queues)
    out.emplace(queue.Id, &queue);
  return out;
}

} // namespace

std::optional<ConfigRevision> diffConfigs(const FleetConfig &base,
                                          const FleetConfig &next) {
  auto old = byId(base);
  if (old.size() < base.Queues.size() || byId(next).size() < next.Queues.size())
    return std::nullopt;
  ConfigRevision out;
  out.Base = base.Version;
  out.Version = next.Version;
  out.Pools = next.Pools;
  out.Teams = next.Teams;
  out.Source = next.Source;
  for (const auto &queue : next.Queues) {
    const auto it = old.find(queue.Id);
    if (it == old.end() || *it->second != queue)
      out.QueuesPut.push_back(queue);
    if (it != old.end())
      old.erase(it);
  }
  for (const auto &[id, queue] : old)
    out.QueuesGone.push_back(id);
  return out;
}

void applyRevision(FleetConfig &config, const ConfigRevision &revision) {
  if (config.Version != revision.Base)
    return;
  config.Version = revision.Version;
  config.Pools = revision.Pools;
  config.Teams = revision.Teams;
  config.Source = revision.Source;
  std::set<core::QueueId> replaced(revision.QueuesGone.begin(),
                                   revision.QueuesGone.end());
  for (const auto &queue : revision.QueuesPut)
    replaced.insert(queue.Id);
  std::erase_if(config.Queues, [&](const QueueSpec &queue) {
    return replaced.contains(queue.Id);
  });
  config.Queues.insert(config.Queues.end(), revision.QueuesPut.begin(),
                       revision.QueuesPut.end());
}

} // namespace almondgate::jobs
