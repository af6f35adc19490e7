#include "almondgate/entry/route_task.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/entry/front_end.hpp"
#include "almondgate/model/cancel_request.hpp"

#include <cstring>

namespace almondgate::entry {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::Result;
using core::Status;
using protocol::Method;

namespace {

constexpr size_t InboxCapacity = 100000;
constexpr DurationMs TickInterval{10};
constexpr DurationMs CancelTimeout{1000};
constexpr int ProcessIdBytes = 6;
constexpr const char *AnnouncePath = "/announce";

bool startsWith(const std::string &text, const char *prefix) {
  return text.rfind(prefix, 0) == 0;
}

model::ProcessInfo makeProcessInfo(const config::EntrySettings &settings) {
  return {core::ProcessId("entry-" + core::randomHex(ProcessIdBytes)),
          model::Role::Entry, settings.Common.Inner, settings.Common.Zone};
}

} // namespace

RouteTask::RouteTask(task::Loop &loop, const config::EntrySettings &settings,
                     Post post,
                     const std::shared_ptr<task::DescriptorBudget> &descriptors)
    : Loop(loop), Settings(settings), Self(makeProcessInfo(settings)),
      Send(std::move(post)),
      Rpc(loop, protocol::rpcOptions(settings.Common.Secret,
                                     settings.Common.Memory, descriptors)),
      Inner(loop,
            protocol::rpcOptions(settings.Common.Secret, settings.Common.Memory,
                                 descriptors),
            serverHooks()),
      Control(loop, Rpc, settings.Common.Control,
              settings.Common.Memory.Peers / 2),
      Watch(loop, Control, Self, watcherHooks()),
      Endpoints(loop, {}, descriptors),
      Core({.Self = Self.Id, .MaxViewAge = settings.FreshFor}, coreHooks()),
      Releases(releaseHooks()), Announcements(announcementHooks()),
      Admin(settings.OperatorKeys, adminHooks()), Jobs(jobHooks()),
      Evacuations(evacuationHooks()), Ticker(loop),
      Inbox(loop, InboxCapacity,
            [this](const FrontEvent &event) { onEvent(event); }) {}

Status RouteTask::start(OnReady ready) {
  Ready = std::move(ready);
  if (auto listening = Inner.listen(Settings.Common.Inner); !listening)
    return listening;
  Watch.start();
  Ticker.every(TickInterval, [this] {
    Core.tick();
    Releases.tick();
    completeApplies();
  });
  return core::ok();
}

std::vector<core::BudgetReading> RouteTask::budgets() const {
  return {Rpc.budget(), Inner.budget(), Control.budget()};
}

std::string RouteTask::notReady() const {
  return Core.isFresh() ? ""
                        : "the view is stale: no recent confirmation from the "
                          "control members";
}

bool RouteTask::isIdle() const {
  return Core.openRequests() == 0 && Releases.pending() == 0;
}

std::string RouteTask::metricsText() {
  Metrics.set("open_requests", double(Core.openRequests()));
  Metrics.set("pending_releases", double(Releases.pending()));
  Metrics.set("revision", double(Watch.view().Revision));
  return Metrics.text();
}

// --- the view

void RouteTask::onView() {
  Core.setView(Watch.view(), Watch.confirmedAt());
  completeApplies();
  if (!Core.isFresh())
    return;
  if (const auto ready = std::exchange(Ready, nullptr))
    ready();
}

void RouteTask::completeApplies() {
  const auto now = core::monotonicNow();
  const uint64_t revision = Watch.view().Revision;
  std::vector<PendingApply> done;
  for (auto &waiting : PendingApplies)
    if (waiting.Revision <= revision || now >= waiting.Deadline)
      done.push_back(std::move(waiting));
  std::erase_if(PendingApplies, [](const PendingApply &w) { return !w.Done; });
  for (const auto &waiting : done)
    waiting.Done();
}

protocol::RpcServerHooks RouteTask::serverHooks() {
  return {[this](Method method, const std::string &body,
                 const protocol::Responder &respond) {
            onCall(method, body, respond);
          },
          [](const std::string &why) {
            observe::logWarn("inner", "call refused: " + why);
          }};
}

void RouteTask::onCall(Method method, const std::string &body,
                       const protocol::Responder &respond) {
  if (method == Method::Inventory) {
    const auto request = encoding::decode<model::InventoryRequest>(body);
    if (request)
      respond(encoding::encode(Core.inventory(request.value())));
    else
      respond(request.error());
    return;
  }
  if (method == Method::Cancel) {
    const auto request = encoding::decode<model::CancelRequest>(body);
    const bool done =
        request && Core.cancelFor(request.value().Id, request.value().Key);
    if (done)
      respond(std::string());
    else
      respond(
          Error{ErrorCode::NotFound, "the request is not open on this entry"});
    return;
  }
  respond(Error{ErrorCode::NotFound, "an entry does not serve this method"});
}

// --- messages from the FrontTask

void RouteTask::onEvent(const FrontEvent &event) {
  if (const auto *arrived = std::get_if<RequestArrived>(&event))
    onRequestArrived(*arrived);
  else
    onCallerDisconnected(std::get<CallerDisconnected>(event));
}

void RouteTask::onRequestArrived(const RequestArrived &arrived) {
  const std::string &target = arrived.Request.Target;
  const uint64_t exchange = arrived.Exchange;
  if (startsWith(target, QueuePrefix)) {
    serveCaller(exchange, arrived.Request);
  } else if (target == AnnouncePath && arrived.Request.Method == "POST") {
    serveAnnouncement(exchange, arrived.Request);
  } else if (startsWith(target, CancelPrefix)) {
    serveCancel(exchange, arrived.Request);
  } else if (EvacuationApi::serves(target)) {
    EvacuationCalls.insert(exchange);
    Evacuations.handle(
        arrived.Request,
        [this, exchange] { return EvacuationCalls.contains(exchange); },
        [this, exchange](const http::Response &r) { answer(exchange, r); });
  } else if (JobApi::serves(target)) {
    Jobs.handle(arrived.Request, [this, exchange](const http::Response &r) {
      answer(exchange, r);
    });
  } else if (startsWith(target, AdminPrefix)) {
    Admin.handle(arrived.Request, [this, exchange](const http::Response &r) {
      answer(exchange, r);
    });
  } else {
    answer(exchange,
           http::problemResponse(
               {ErrorCode::NotFound, "no resource at '" + target + "'"}));
  }
}

void RouteTask::onCallerDisconnected(const CallerDisconnected &gone) {
  EvacuationCalls.erase(gone.Exchange);
  const auto it = RequestIds.find(gone.Exchange);
  if (it == RequestIds.end())
    return;
  const core::RequestId id = it->second;
  RequestIds.erase(it);
  Core.callerDisconnected(id);
}

void RouteTask::answer(uint64_t exchange, const http::Response &response) {
  RequestIds.erase(exchange);
  EvacuationCalls.erase(exchange);
  Metrics.count("responses", "status", std::to_string(response.Status));
  // The FrontTask's mailbox holds more messages than requests can be open. If
  // it were full, the caller would wait until its own timeout.
  (void)Send(ResponseReady{exchange, response});
}

void RouteTask::serveCaller(uint64_t exchange, const http::Request &request) {
  const std::string fallback = Self.Id.str() + "-" + std::to_string(exchange);
  auto parsed = parseCallerRequest(request, fallback);
  if (!parsed) {
    answer(exchange, http::problemResponse(parsed.error()));
    return;
  }
  const core::RequestId id = parsed.value().Id;
  const auto arrived = core::monotonicNow();
  RequestIds.emplace(exchange, id);
  Core.submit(std::move(parsed.value()), [this, exchange, id, arrived](
                                             Result<http::Response> result) {
    Metrics.time("request", double((core::monotonicNow() - arrived).Count));
    http::Response response = result ? std::move(result.value())
                                     : http::problemResponse(result.error());
    response.Headers = http::withoutHopByHop(response.Headers);
    response.Headers.push_back({"almondgate-request-id", id.str()});
    answer(exchange, response);
  });
}

void RouteTask::serveAnnouncement(uint64_t exchange,
                                  const http::Request &request) {
  const auto parsed = encoding::fromJson<model::Announcement>(request.Body);
  if (!parsed) {
    answer(exchange, http::problemResponse(parsed.error()));
    return;
  }
  Announcements.announce(
      parsed.value(), [this, exchange](const Status &status) {
        answer(exchange, status ? http::jsonResponse(200, "{}")
                                : http::problemResponse(status.error()));
      });
}

void RouteTask::serveCancel(uint64_t exchange, const http::Request &request) {
  const model::CancelRequest asked{
      core::RequestId(request.Target.substr(std::strlen(CancelPrefix))),
      bearerKey(request.Headers)};
  if (Core.cancelFor(asked.Id, asked.Key)) {
    answer(exchange, http::jsonResponse(200, "{}"));
    return;
  }
  // The request may be open on any entry: query all of them and respond as soon
  // as one has cancelled it, or when all have replied.
  const auto outstanding = std::make_shared<size_t>(1);
  const auto record_reply = [this, exchange, outstanding](bool found) {
    if (*outstanding == 0)
      return;
    *outstanding = found ? 0 : *outstanding - 1;
    if (*outstanding > 0)
      return;
    const Error missing{ErrorCode::NotFound,
                        "the request is not open on any entry"};
    answer(exchange, found ? http::jsonResponse(200, "{}")
                           : http::problemResponse(missing));
  };
  for (const auto &process : Watch.processes()) {
    if (process.Kind != model::Role::Entry || process.Id == Self.Id)
      continue;
    ++*outstanding;
    Rpc.call(process.Inner, Method::Cancel, encoding::encode(asked),
             CancelTimeout,
             [record_reply](const auto &reply) { record_reply(bool(reply)); });
  }
  record_reply(false);
}

} // namespace almondgate::entry
