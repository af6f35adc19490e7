#include "almondgate/dispatch/endpoint_agenda.hpp"

namespace almondgate::dispatch {

void EndpointAgenda::add(EndpointView &endpoint) {
  const auto &id = endpoint.Facts.Id;
  if (!endpoint.Renewing)
    NotRenewing.emplace(id, &endpoint);
  if (!endpoint.StopRetries.empty())
    StopRetries.emplace(id, &endpoint);
  ByAddress[endpoint.Facts.At].emplace(id, &endpoint);
}

void EndpointAgenda::remove(EndpointView &endpoint) {
  const auto &id = endpoint.Facts.Id;
  NotRenewing.erase(id);
  StopRetries.erase(id);
  const auto it = ByAddress.find(endpoint.Facts.At);
  it->second.erase(id);
  if (it->second.empty())
    ByAddress.erase(it);
}

void EndpointAgenda::clear() {
  NotRenewing.clear();
  StopRetries.clear();
  ByAddress.clear();
}

void EndpointAgenda::setRenewing(EndpointView &endpoint, bool renewing) {
  endpoint.Renewing = renewing;
  if (renewing)
    NotRenewing.erase(endpoint.Facts.Id);
  else
    NotRenewing.emplace(endpoint.Facts.Id, &endpoint);
}

std::vector<EndpointView *>
EndpointAgenda::dueRenewals(core::TimeMs now) const {
  std::vector<EndpointView *> out;
  for (const auto &[id, endpoint] : NotRenewing)
    if (now >= endpoint->RenewDue)
      out.push_back(endpoint);
  return out;
}

void EndpointAgenda::retryStop(EndpointView &endpoint,
                               const EndpointView::TaskKey &task_key) {
  endpoint.StopRetries.insert(task_key);
  StopRetries.emplace(endpoint.Facts.Id, &endpoint);
}

std::vector<EndpointView *> EndpointAgenda::takeStopRetries() {
  std::vector<EndpointView *> out;
  for (const auto &[id, endpoint] : std::exchange(StopRetries, {}))
    out.push_back(endpoint);
  return out;
}

std::vector<EndpointView *>
EndpointAgenda::at(const core::Address &address) const {
  std::vector<EndpointView *> out;
  const auto it = ByAddress.find(address);
  if (it != ByAddress.end())
    for (const auto &[id, endpoint] : it->second)
      out.push_back(endpoint);
  return out;
}

std::vector<std::string> EndpointAgenda::check(
    std::map<jobs::EndpointId, EndpointView> &endpoints) const {
  EndpointAgenda fresh;
  for (auto &[id, endpoint] : endpoints)
    fresh.add(endpoint);
  std::vector<std::string> out;
  if (fresh.NotRenewing != NotRenewing)
    out.emplace_back("the endpoints to be renewed are out of date");
  if (fresh.StopRetries != StopRetries)
    out.emplace_back("the endpoints with stops to repeat are out of date");
  if (fresh.ByAddress != ByAddress)
    out.emplace_back("the endpoints by address are out of date");
  return out;
}

} // namespace almondgate::dispatch
