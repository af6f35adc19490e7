#include "almondgate/entry/front_task.hpp"
#include "almondgate/entry/evacuation_api.hpp"

namespace almondgate::entry {

namespace {

constexpr size_t InboxCapacity = 100000;

http::ServerOptions options(std::shared_ptr<http::ServerBudget> budget) {
  http::ServerOptions out;
  out.Name = "callers";
  out.Budget = std::move(budget);
  out.Http2 = true;
  return out;
}

http::Response overloaded() {
  return http::problemResponse({core::ErrorCode::Overloaded,
                                "the mailbox of the request router is full"});
}

} // namespace

FrontTask::FrontTask(task::Loop &loop,
                     std::shared_ptr<http::ServerBudget> budget, Post post)
    : Send(std::move(post)), Http(loop, options(std::move(budget)),
                                  [this](http::Exchange exchange) {
                                    onExchange(std::move(exchange));
                                  }),
      Inbox(loop, InboxCapacity,
            [this](const ResponseReady &answer) { onResponse(answer); }) {}

core::Status FrontTask::listen(const core::Address &address) {
  return Http.listen(address);
}

void FrontTask::onExchange(http::Exchange exchange) {
  // An operator who has given a call up may have sent a newer one.
  if (EvacuationApi::serves(exchange.Request.Target) &&
      !exchange.IsConnected()) {
    exchange.Respond(http::problemResponse(
        {core::ErrorCode::Cancelled, "the caller is gone"}));
    return;
  }
  const uint64_t id = NextExchange++;
  if (!Send(RequestArrived{id, std::move(exchange.Request)})) {
    exchange.Respond(overloaded());
    return;
  }
  Open.emplace(id, std::move(exchange.Respond));
  exchange.OnDisconnect([this, id] {
    Open.erase(id);
    // If this message is dropped, the request runs to completion.
    (void)Send(CallerDisconnected{id});
  });
}

void FrontTask::onResponse(const ResponseReady &answer) {
  const auto it = Open.find(answer.Exchange);
  if (it == Open.end())
    return;
  const auto respond = std::move(it->second);
  Open.erase(it);
  respond(answer.Response);
}

} // namespace almondgate::entry
