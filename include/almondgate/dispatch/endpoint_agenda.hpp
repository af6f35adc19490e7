#ifndef ALMONDGATE_DISPATCH_ENDPOINT_AGENDA_HPP
#define ALMONDGATE_DISPATCH_ENDPOINT_AGENDA_HPP

#include "almondgate/dispatch/endpoint_view.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// The endpoints that a tick has to look at, and an index by address. Most
/// endpoints have a renewal outstanding, which ends by itself, and no stops to
/// repeat. Holds pointers to the endpoints.
class EndpointAgenda {
public:
  /// Adds an endpoint, or takes it out before it changes its address or is
  /// destroyed.
  void add(EndpointView &endpoint);
  void remove(EndpointView &endpoint);
  void clear();

  /// Sets EndpointView::Renewing.
  void setRenewing(EndpointView &endpoint, bool renewing);
  /// The endpoints without an outstanding renewal whose next one is due, by id.
  std::vector<EndpointView *> dueRenewals(core::TimeMs now) const;

  /// Notes that the stop order of the task is to be sent again.
  void retryStop(EndpointView &endpoint, const EndpointView::TaskKey &task_key);
  /// Takes the endpoints with such orders, by id.
  std::vector<EndpointView *> takeStopRetries();

  /// The endpoints at an address.
  std::vector<EndpointView *> at(const core::Address &address) const;

  /// Describes each difference to `endpoints`, for tests.
  std::vector<std::string>
  check(std::map<jobs::EndpointId, EndpointView> &endpoints) const;

private:
  using ById = std::map<jobs::EndpointId, EndpointView *>;

  ById NotRenewing;
  ById StopRetries;
  std::map<core::Address, ById> ByAddress;
};

} // namespace almondgate::dispatch

#endif
