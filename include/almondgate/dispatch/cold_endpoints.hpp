#ifndef ALMONDGATE_DISPATCH_COLD_ENDPOINTS_HPP
#define ALMONDGATE_DISPATCH_COLD_ENDPOINTS_HPP

#include "almondgate/dispatch/dispatch_policies.hpp"
#include "almondgate/dispatch/endpoint_view.hpp"

#include <map>

namespace almondgate::dispatch {

/// The endpoints that reported that they are slow for a while after their
/// start. Held in the leader's memory only: a new leader learns the rest of the
/// time from the next heartbeat.
class ColdEndpoints {
public:
  using Decide = decltype(DispatchPolicies::ColdStart);
  using EndpointMap = std::map<jobs::EndpointId, EndpointView>;

  explicit ColdEndpoints(Decide decide) : DecideColdStart(std::move(decide)) {}

  /// An incarnation reported how long it remains slow, 0 for not at all. The
  /// time runs by the leader's clock from the first report; a later one can
  /// only shorten it, as heartbeats may arrive late. Returns true for the first
  /// report.
  bool report(const jobs::EndpointFacts &facts, int64_t remaining_ms,
              core::TimeMs now);

  /// A run that started since the report has ended at the endpoint.
  void onRunDone(const EndpointView &endpoint, core::TimeMs started,
                 int64_t ran_ms, int64_t expected_ms);

  /// Sets Cold and CapacityPercent of the endpoints. Does nothing while no
  /// endpoint is cold.
  void update(EndpointMap &endpoints, core::TimeMs now);

  void clear() { Reports.clear(); }

private:
  struct Report {
    int64_t BornMs = 0;
    core::TimeMs At;
    policy::ColdStartInput Input;
    /// The endpoint is warm.
    bool Over = false;
  };

  Decide DecideColdStart;
  std::map<jobs::EndpointId, Report> Reports;
};

} // namespace almondgate::dispatch

#endif
