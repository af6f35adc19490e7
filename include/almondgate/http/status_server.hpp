#ifndef ALMONDGATE_HTTP_STATUS_SERVER_HPP
#define ALMONDGATE_HTTP_STATUS_SERVER_HPP

#include "almondgate/http/server.hpp"

#include <functional>
#include <string>

namespace almondgate::http {

/// Sources of the status of a process.
struct StatusHooks {
  /// The reason why the process is not ready, or an empty string.
  std::function<std::string()> NotReady;
  /// Metrics in the Prometheus text format.
  std::function<std::string()> Metrics;
};

/// Serves /healthz, /readyz and /metrics.
class StatusServer {
public:
  StatusServer(task::Loop &loop, StatusHooks hooks);

  core::Status listen(const core::Address &address);

private:
  Response answer(const Request &request) const;

  const StatusHooks Hooks;
  Server Http;
};

} // namespace almondgate::http

#endif
