#include "almondgate/http/status_server.hpp"
#include "almondgate/http/server_budget.hpp"

namespace almondgate::http {

namespace {

// Probes have no body; a small one is read, so that its answer arrives.
constexpr size_t MaxBodyBytes = size_t{256} * 1024;

Response plain(int status, std::string body) {
  return {status, {{"content-type", "text/plain"}}, std::move(body)};
}

} // namespace

StatusServer::StatusServer(task::Loop &loop, StatusHooks hooks)
    : Hooks(std::move(hooks)),
      Http(loop,
           {MaxBodyBytes, "status",
            std::make_shared<ServerBudget>(ServerBudget::forStatus())},
           [this](const Exchange &exchange) {
             exchange.Respond(answer(exchange.Request));
           }) {}

core::Status StatusServer::listen(const core::Address &address) {
  return Http.listen(address);
}

Response StatusServer::answer(const Request &request) const {
  if (request.Target == "/healthz")
    return plain(200, "ok\n");
  if (request.Target == "/readyz") {
    const std::string why = Hooks.NotReady();
    return why.empty() ? plain(200, "ready\n") : plain(503, why + "\n");
  }
  if (request.Target == "/metrics")
    return plain(200, Hooks.Metrics());
  return plain(404, "not found\n");
}

} // namespace almondgate::http
