#ifndef ALMONDGATE_HTTP_SERVER_HPP
#define ALMONDGATE_HTTP_SERVER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/http/exchange.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace almondgate::core {
struct Address;
} // namespace almondgate::core

namespace almondgate::task {
class Loop;
} // namespace almondgate::task

namespace almondgate::http {

struct ServerBudget;

/// Settings of a Server.
struct ServerOptions {
  /// Larger bodies are refused with status 413. At most a quarter of the
  /// budget's bytes for requests is allowed.
  size_t MaxBodyBytes = 16u << 20;
  /// Names the server in the log.
  std::string Name = "server";
  /// What callers may make the server hold. By default, the plan for
  /// DefaultMemoryLimitMb.
  std::shared_ptr<ServerBudget> Budget = nullptr;
  /// Serves h2c as well. What its streams hold is estimated.
  bool Http2 = false;
};

/// An HTTP/1.1 and h2c server based on h2o. A request whose handler throws is
/// logged and answered with status 500. Connections end once the budget is used
/// up, or if a request or the reading of its answer takes too long.
class Server {
public:
  using Handler = std::function<void(Exchange)>;

  Server(task::Loop &loop, ServerOptions options, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Errors: those of task::TcpListener::listen().
  core::Status listen(const core::Address &address);

  /// False while the address is still in use.
  bool isListening() const;

  /// Closes open connections gracefully after their next response.
  void drain();

  /// Accepts no further connection but those that have arrived already.
  void stopAccepting();

  /// The number of requests without a response.
  size_t openRequests() const;

  /// No request is open, and no connection was accepted within the last second
  /// that has yet to send its first one. To be asked before the process ends.
  bool isIdle() const;

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace almondgate::http

#endif
