#include "almondgate/dispatch/dispatcher.hpp"

#include "ready_step.hpp"

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;

namespace {

// Most endpoints in one request to the placement policy service.
constexpr size_t MaxAdvisedEndpoints = 100;

} // namespace

// Tickets hold for one life of an endpoint. Endpoints that joined the pool or
// started anew since are asked about in addition, while the others are used.
bool Dispatcher::ensureTickets(const ReadyStep &ready,
                               const std::vector<EndpointView *> &pool) {
  const auto &terms = ready.Record->Terms;
  if (!terms.NeedsTicket)
    return true;
  const auto now = Hooks.Now();
  StepTickets &tickets = ready.Job->Tickets[{ready.Occurrence, ready.Step}];
  const bool valid = tickets.areValid(now);
  if (tickets.Requested)
    return valid;
  if (!valid)
    tickets = {};
  std::map<jobs::EndpointId, int64_t> asked;
  for (const auto *endpoint : pool)
    if (!tickets.covers(endpoint->Facts))
      asked.emplace(endpoint->Facts.Id, endpoint->Facts.BornMs);
  if (asked.empty())
    return valid;
  AdviceRequest request{ready.Record->Id, ready.Occurrence, ready.Step, {}};
  for (const auto &[id, born_ms] : asked) {
    tickets.Tickets.erase(id);
    if (request.Endpoints.size() < MaxAdvisedEndpoints)
      request.Endpoints.push_back(id);
  }
  tickets.Requested = true;
  Hooks.Advise(request, [this, request, asked = std::move(asked),
                         valid_until = now + DurationMs{terms.TicketLifeMs},
                         generation = Generation](
                            const core::Result<std::vector<Ticket>> &answer) {
    if (generation == Generation)
      onAdvice(request, asked, valid_until, answer);
  });
  return valid;
}

void Dispatcher::onAdvice(const AdviceRequest &request,
                          const std::map<jobs::EndpointId, int64_t> &asked,
                          TimeMs valid_until,
                          const core::Result<std::vector<Ticket>> &answer) {
  const auto open = OpenJobs.find(request.Job);
  if (open == OpenJobs.end())
    return;
  auto &known = open->second.Tickets[{request.Occurrence, request.Step}];
  known.Requested = false;
  if (!answer) {
    Hooks.Log("no placement advice for job " + request.Job.str() + ": " +
              answer.error().Text);
    return;
  }
  // All tickets are renewed together, when the first of them expires.
  if (known.Asked.empty())
    known.ValidUntil = valid_until;
  for (const auto &[id, born_ms] : asked)
    known.Asked.insert_or_assign(id, born_ms);
  for (const auto &ticket : answer.value())
    known.Tickets.insert_or_assign(ticket.Endpoint, ticket.Text);
  schedulePass();
}

} // namespace almondgate::dispatch
