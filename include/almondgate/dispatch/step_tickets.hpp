#ifndef ALMONDGATE_DISPATCH_STEP_TICKETS_HPP
#define ALMONDGATE_DISPATCH_STEP_TICKETS_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/endpoint_facts.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondgate::dispatch {

/// What a ticket is looked up for.
enum class TicketUse {
  /// A start now: the ticket must not have expired.
  Start,
  /// A later start, before which it is renewed.
  Plan,
};

/// What the placement policy service said of one endpoint.
struct TicketAnswer {
  /// The incarnation that it holds for (EndpointFacts::BornMs).
  int64_t BornMs = 0;
  /// Empty if the endpoint may not run the step, which does not change.
  std::optional<std::string> Ticket;
  /// When the ticket expires.
  core::TimeMs ValidUntil;

  bool operator==(const TicketAnswer &) const = default;
};

/// Answers of the placement policy service for one occurrence of a step. Each
/// comes and expires by itself.
struct StepTickets {
  /// A request waits or is outstanding.
  bool Requested = false;
  /// No request is sent before this time.
  core::TimeMs RetryAt{INT64_MIN / 2};
  std::map<jobs::EndpointId, TicketAnswer> Answers;

  bool operator==(const StepTickets &) const = default;

  /// The answer for this incarnation of the endpoint, expired or not.
  const TicketAnswer *find(const jobs::EndpointFacts &facts) const {
    const auto it = Answers.find(facts.Id);
    return it != Answers.end() && it->second.BornMs == facts.BornMs
               ? &it->second
               : nullptr;
  }
  /// The endpoint has a ticket.
  bool permits(const jobs::EndpointFacts &facts, TicketUse use,
               core::TimeMs now) const {
    const TicketAnswer *answer = find(facts);
    return answer && answer->Ticket &&
           (use == TicketUse::Plan || now < answer->ValidUntil);
  }
  /// The service need not be asked about the endpoint.
  bool covers(const jobs::EndpointFacts &facts, core::TimeMs now) const {
    const TicketAnswer *answer = find(facts);
    return answer && (!answer->Ticket || now < answer->ValidUntil);
  }
};

} // namespace almondgate::dispatch

#endif
