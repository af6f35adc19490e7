#include "almondgate/dispatch/dispatcher.hpp"

#include "ready_step.hpp"
#include "run_accounting.hpp"
#include "step_candidates.hpp"

#include <algorithm>

namespace almondgate::dispatch {

using core::DurationMs;
using core::TimeMs;

namespace {

// The service handles one request of a caller after the other, and rejects
// those beyond a few dozen.
constexpr size_t MaxOpenAdviceCalls = 4;
constexpr DurationMs AdviceRetryDelay{200};
// A request that takes longer is too large.
constexpr DurationMs MaxAdviceTime{1000};
// A request that takes this part of that time or less may be twice as large.
constexpr int64_t GrowthMargin = 4;

// An endpoint that can never run a task of the step is not asked about.
bool mustAsk(const StepTickets &tickets, const jobs::StepSpec &step,
             const EndpointView &endpoint, TimeMs now) {
  return !tickets.covers(endpoint.Facts, now) &&
         core::fits(requiredCapacity(step), endpoint.Facts.Capacity) &&
         hasLabel(endpoint, step.Label);
}

} // namespace

// Endpoints that joined the pool or started anew are asked about in addition,
// while the others are used.
bool Dispatcher::ensureTickets(const ReadyStep &ready,
                               const std::vector<EndpointView *> &pool) {
  if (!ready.Record->Terms.NeedsTicket)
    return true;
  const auto now = Hooks.Now();
  const StepKey step{ready.Record->Id, ready.Occurrence, ready.Step};
  StepTickets &tickets = ready.Job->Tickets[{ready.Occurrence, ready.Step}];
  const bool lacks_answer =
      !tickets.Requested && now >= tickets.RetryAt &&
      std::any_of(pool.begin(), pool.end(), [&](const auto *endpoint) {
        return mustAsk(tickets, *ready.Spec, *endpoint, now);
      });
  if (lacks_answer) {
    tickets.Requested = true;
    AdviceWaiting.push_back(step);
    sendAdviceRequests();
  }
  return std::any_of(pool.begin(), pool.end(), [&](const auto *endpoint) {
    return tickets.permits(endpoint->Facts, TicketUse::Start, now);
  });
}

// Each step asks once in its turn, so that none keeps the others from asking.
void Dispatcher::sendAdviceRequests() {
  while (OpenAdviceCalls < MaxOpenAdviceCalls && !AdviceWaiting.empty()) {
    const StepKey step = AdviceWaiting.front();
    AdviceWaiting.pop_front();
    StepTickets *tickets = findTickets(step);
    if (!tickets)
      continue;
    const auto endpoints = endpointsToAsk(step);
    if (endpoints.empty())
      tickets->Requested = false;
    else
      sendAdviceRequest(step, endpoints);
  }
}

// Endpoints with room for a task come first, and among them those that were not
// asked about before.
std::vector<const EndpointView *>
Dispatcher::endpointsToAsk(const StepKey &step) {
  const auto &[id, occurrence, number] = step;
  const OpenJob &job = *findOpenJob(id);
  const auto &steps = job.Record->Spec->Steps;
  const auto &spec = steps[size_t(number)];
  const StepTasks &tasks =
      job.Steps[size_t(occurrence) * steps.size() + size_t(number)];
  if (tasks.Waiting == 0 || !job.Record->isOpen())
    return {};
  const auto &tickets = job.Tickets.at({occurrence, number});
  const core::Size need = requiredCapacity(spec);
  const auto now = Hooks.Now();
  std::vector<std::pair<int, const EndpointView *>> ranked;
  for (const auto *endpoint : Pools.usable(job.pool(), now)) {
    if (!mustAsk(tickets, spec, *endpoint, now))
      continue;
    const auto &facts = endpoint->Facts;
    const bool has_room = core::fits(need, facts.Capacity - endpoint->Used);
    ranked.emplace_back((has_room ? 0 : 2) + (tickets.find(facts) ? 1 : 0),
                        endpoint);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto &a, const auto &b) { return a.first < b.first; });
  if (ranked.size() > AdvisedAtOnce)
    ranked.resize(AdvisedAtOnce);
  std::vector<const EndpointView *> out;
  out.reserve(ranked.size());
  for (const auto &[rank, endpoint] : ranked)
    out.push_back(endpoint);
  return out;
}

void Dispatcher::sendAdviceRequest(
    const StepKey &step, const std::vector<const EndpointView *> &endpoints) {
  const auto &[id, occurrence, number] = step;
  AdviceRequest request{id, occurrence, number, {}};
  std::map<jobs::EndpointId, int64_t> asked;
  for (const auto *endpoint : endpoints) {
    request.Endpoints.push_back(endpoint->Facts.Id);
    asked.emplace(endpoint->Facts.Id, endpoint->Facts.BornMs);
  }
  ++OpenAdviceCalls;
  Hooks.Advise(request, [this, request, asked = std::move(asked),
                         sent = Hooks.Now(), generation = Generation](
                            const core::Result<std::vector<Ticket>> &answer) {
    if (generation == Generation)
      onAdvice(request, asked, sent, answer);
  });
}

void Dispatcher::onAdvice(const AdviceRequest &request,
                          const std::map<jobs::EndpointId, int64_t> &asked,
                          TimeMs sent,
                          const core::Result<std::vector<Ticket>> &answer) {
  --OpenAdviceCalls;
  const auto now = Hooks.Now();
  const StepKey step{request.Job, request.Occurrence, request.Step};
  StepTickets *tickets = findTickets(step);
  if (tickets)
    tickets->Requested = false;
  if (!answer) {
    Hooks.Log("no placement advice for job " + request.Job.str() + " on " +
              std::to_string(asked.size()) + " endpoints after " +
              std::to_string((now - sent).Count) +
              " ms: " + answer.error().Text);
    Hooks.IncrementCounter("advice", "result", "failed");
    // One that is refused at once says nothing of its size.
    if (now - sent > MaxAdviceTime)
      resizeAdviceRequests(now - sent, MaxAdviceTime);
    if (tickets)
      tickets->RetryAt = now + AdviceRetryDelay;
  } else if (tickets) {
    const DurationMs life{findOpenJob(request.Job)->Record->Terms.TicketLifeMs};
    Hooks.IncrementCounter("advice", "result", "answered");
    resizeAdviceRequests(now - sent,
                         std::min(MaxAdviceTime, DurationMs{life.Count / 2}));
    for (const auto &[id, born_ms] : asked)
      tickets->Answers.insert_or_assign(id, TicketAnswer{born_ms, {}, {}});
    for (const auto &ticket : answer.value())
      if (const auto it = asked.find(ticket.Endpoint); it != asked.end())
        tickets->Answers.insert_or_assign(
            ticket.Endpoint,
            TicketAnswer{it->second, ticket.Text, sent + life});
  }
  sendAdviceRequests();
  schedulePass();
}

void Dispatcher::resizeAdviceRequests(DurationMs elapsed, DurationMs longest) {
  if (elapsed > longest)
    AdvisedAtOnce = std::max<size_t>(AdvisedAtOnce / 2, 1);
  else if (elapsed.Count * GrowthMargin <= longest.Count)
    AdvisedAtOnce = std::min(AdvisedAtOnce * 2, AdviceRequest::MaxEndpoints);
}

StepTickets *Dispatcher::findTickets(const StepKey &step) const {
  const auto &[id, occurrence, number] = step;
  OpenJob *job = findOpenJob(id);
  return job ? job->findTickets(occurrence, number) : nullptr;
}

void Dispatcher::forgetTicket(const TaskKey &task_key,
                              const jobs::EndpointId &at) {
  OpenJob &job = OpenJobs.at(task_key.first);
  const auto task =
      jobs::taskAt(task_key.first, *job.Record->Spec, task_key.second);
  if (auto *tickets = job.findTickets(task.Occurrence, task.Step))
    tickets->Answers.erase(at);
}

} // namespace almondgate::dispatch
