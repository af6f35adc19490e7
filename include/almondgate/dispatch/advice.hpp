#ifndef ALMONDGATE_DISPATCH_ADVICE_HPP
#define ALMONDGATE_DISPATCH_ADVICE_HPP

#include "almondgate/jobs/task_ref.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace almondgate::dispatch {

/// Request to the placement policy service: which endpoints may run a step.
struct AdviceRequest {
  /// The service takes no more in one request.
  static constexpr size_t MaxEndpoints = 100;

  jobs::JobId Job;
  int64_t Occurrence = 0;
  int64_t Step = 0;
  /// The candidates.
  std::vector<jobs::EndpointId> Endpoints;

  bool operator==(const AdviceRequest &) const = default;
};

/// Permission to run a step's tasks on one endpoint.
struct Ticket {
  jobs::EndpointId Endpoint;
  /// Sent with each start order, see StartOrder::Ticket.
  std::string Text;

  bool operator==(const Ticket &) const = default;
};

} // namespace almondgate::dispatch

#endif
